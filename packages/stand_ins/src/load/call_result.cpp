#include <catkintally/stand_ins/load/call_result.hpp>

#include <boost/algorithm/string/predicate.hpp>

#include <array>
#include <utility>

namespace catkintally::stand_ins
{

namespace
{

constexpr std::array<std::string_view, call_result_count> names = {
    "answered",    "refused_not_run", "attempt_not_run", "in_progress",
    "already_run", "unknown",         "no_answer"};

constexpr auto outcomes = std::to_array<std::pair<std::string_view, call_result>>(
    {{"not-run", call_result::refused_not_run},
     {"attempt-not-run", call_result::attempt_not_run},
     {"in-progress", call_result::in_progress},
     {"already-run", call_result::already_run},
     {"unknown", call_result::unknown}});

} // namespace

std::string_view to_string(call_result result)
{
    return names.at(static_cast<std::size_t>(result));
}

call_result classify(const runtime::http_response& response)
{
    if (response.outcome != runtime::http_outcome::answered)
    {
        return call_result::no_answer;
    }
    for (const auto& [name, value] : response.headers)
    {
        if (!boost::algorithm::iequals(name, "catkintally-outcome"))
        {
            continue;
        }
        for (const auto& [outcome, result] : outcomes)
        {
            if (value == outcome)
            {
                return result;
            }
        }
        // An outcome that this program does not know proves nothing.
        return call_result::unknown;
    }
    return call_result::answered;
}

bool is_final(call_result result)
{
    return result == call_result::answered || result == call_result::already_run ||
           result == call_result::refused_not_run || result == call_result::unknown;
}

} // namespace catkintally::stand_ins
