#include <catkintally/entry/http/end_cause.hpp>

#include <array>

namespace catkintally::entry
{

namespace
{

constexpr std::array<std::string_view, end_cause_count> names = {
    "caller_closed", "caller_gone", "reset", "idle", "lingered", "slow_reader", "process_end"};

} // namespace

std::string_view end_cause_name(end_cause how)
{
    return names.at(static_cast<std::size_t>(how));
}

} // namespace catkintally::entry
