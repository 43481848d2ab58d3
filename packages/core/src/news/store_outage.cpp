#include <catkintally/core/news/store_outage.hpp>

#include <algorithm>
#include <utility>

namespace catkintally::core
{

namespace
{

/// Calls that fail within this time may all be those of instances that the store rejects: after the
/// loss of the readers every instance calls once within 250 ms.
constexpr duration min_failing_time = std::chrono::milliseconds(300);

/// Without an answer for this long after a failure, the store is away although few have called it:
/// those that call it at short intervals may have crashed, and the others call again after seconds.
constexpr duration max_answer_gap = std::chrono::milliseconds(1500);

} // namespace

void store_outage::note_failure(time_point at)
{
    if (last_success_ && at <= *last_success_)
    {
        return;
    }
    last_failure_ = first_failure_ ? std::max(last_failure_, at) : at;
    first_failure_ = std::min(first_failure_.value_or(at), at);
}

bool store_outage::note_success(time_point at)
{
    last_success_ = std::max(last_success_.value_or(at), at);
    if (!first_failure_ || at < *first_failure_)
    {
        return false;
    }
    const bool ended = is_lasting(at);
    first_failure_.reset();
    return ended;
}

bool store_outage::is_lasting(time_point now) const
{
    return first_failure_ && (last_failure_ - *first_failure_ >= min_failing_time ||
                              now - *first_failure_ >= max_answer_gap);
}

} // namespace catkintally::core
