#include <catkintally/core/admission/returned_requests.hpp>

namespace catkintally::core
{

namespace
{

/// Callers that come back later than this are not distinguished from new ones.
constexpr duration return_window = std::chrono::seconds(2);

/// Callers wait in whole or fractional seconds and by clocks of their own.
constexpr duration early_tolerance = std::chrono::milliseconds(20);

} // namespace

void returned_requests::refused(std::uint64_t fingerprint, time_point now, duration retry_after)
{
    if (fingerprint == 0)
    {
        return;
    }
    if (due_.size() >= max_size)
    {
        std::erase_if(due_, [now](const auto& each) { return each.second + return_window < now; });
    }
    if (due_.size() < max_size || due_.contains(fingerprint))
    {
        due_[fingerprint] = now + retry_after;
    }
}

bool returned_requests::take(std::uint64_t fingerprint, time_point now)
{
    const auto found = due_.find(fingerprint);
    if (found == due_.end() || now + early_tolerance < found->second)
    {
        return false;
    }
    const bool in_time = now <= found->second + return_window;
    due_.erase(found);
    return in_time;
}

} // namespace catkintally::core
