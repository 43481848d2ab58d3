#include <catkintally/entry/process/barrier_dump.hpp>

#include <chrono>
#include <cstddef>

namespace catkintally::entry
{

boost::json::value
to_json(const std::vector<core::target_barrier_dump>& barriers, core::time_point now)
{
    boost::json::array dumped;
    for (const core::target_barrier_dump& each : barriers)
    {
        const auto& until = each.barrier.until;
        const boost::json::value left =
            until ? boost::json::value(
                        std::chrono::duration_cast<std::chrono::milliseconds>(*until - now).count())
                  : boost::json::value();
        const auto reason = static_cast<std::size_t>(each.barrier.reason);
        dumped.push_back(boost::json::object{
            {"service", each.service},
            {"target", each.target},
            {"reason", core::barrier_reason_names.at(reason)},
            {"left_ms", left}});
    }
    return dumped;
}

} // namespace catkintally::entry
