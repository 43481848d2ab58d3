#include <catkintally/entry/process/limit_dump.hpp>

namespace catkintally::entry
{

boost::json::value to_json(const std::vector<core::target_limit_dump>& limits)
{
    boost::json::array dumped;
    for (const core::target_limit_dump& each : limits)
    {
        const auto known_for =
            std::chrono::duration_cast<std::chrono::milliseconds>(each.known_for).count();
        dumped.push_back(boost::json::object{
            {"service", each.service},
            {"target", each.target},
            {"limit_per_s", each.per_second},
            {"known_for_ms", known_for},
            {"read_by", each.source},
            {"share_per_s", each.share.per_second},
            {"holders", each.share.holders},
            {"tokens", each.tokens}});
    }
    return dumped;
}

} // namespace catkintally::entry
