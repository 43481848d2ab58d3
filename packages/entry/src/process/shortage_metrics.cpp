#include <catkintally/entry/process/shortage_metrics.hpp>

#include <algorithm>

namespace catkintally::entry
{

namespace
{

/// Less urgent priorities are counted together with this one, which bounds the number of counters.
constexpr std::uint32_t last_priority = 7;

} // namespace

void shortage_metrics::record(
    const core::probing_decision& decision, runtime::metrics_registry& metrics)
{
    if (!decision.shortage.short_of_slots)
    {
        return;
    }
    const std::uint32_t priority = std::min(decision.priority, last_priority);
    counter_pair& counters = counters_[{decision.service, priority}];
    if (counters.first == nullptr)
    {
        const auto counter = [&](const char* result)
        {
            return &metrics.counter(
                "catkintally_shortage_decisions_total", {{"service", decision.service},
                                                         {"priority", std::to_string(priority)},
                                                         {"result", result}});
        };
        counters = {counter("granted"), counter("refused")};
    }
    const bool granted = decision.code == core::decision_code::granted;
    (granted ? counters.first : counters.second)->add();
}

boost::json::value to_json(const std::vector<core::shortage_dump>& services)
{
    boost::json::array dumped;
    for (const core::shortage_dump& each : services)
    {
        boost::json::array priorities;
        for (const core::shortage_class_dump& one : each.classes)
        {
            priorities.push_back(boost::json::object{
                {"priority", one.priority},
                {"recent", one.decided},
                {"served_fraction", one.served_fraction},
                {"work_ms", one.work_ms},
                {"slots_left_free", one.reserve}});
        }
        dumped.push_back(boost::json::object{
            {"service", each.service},
            {"short", each.short_of_slots},
            {"failed_passes", each.level},
            {"nearly_full_factor", each.nearly_full_factor},
            {"priorities", std::move(priorities)}});
    }
    return dumped;
}

} // namespace catkintally::entry
