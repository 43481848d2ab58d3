#include <catkintally/entry/http/exchange.hpp>

namespace catkintally::entry
{

namespace
{

/// Retry-After of an instance that stops. Others are ready.
constexpr auto stopping_retry_after = std::chrono::milliseconds(100);

} // namespace

bool exchange::may_outlast_process() const
{
    return context_.time_to_end && time_left() > context_.time_to_end();
}

refusal exchange::stopping_refusal() const
{
    return {
        .status = 503,
        .claim = execution_claim(),
        .reason = "stopping",
        .retry_after = stopping_retry_after};
}

std::optional<refusal> exchange::obstacle() const
{
    if (may_outlast_process())
    {
        return stopping_refusal();
    }
    auto denied =
        context_.denied ? context_.denied(pending_request_->request(), plan_) : std::nullopt;
    if (denied)
    {
        denied->claim = execution_claim();
    }
    return denied;
}

void exchange::recheck()
{
    // The end of another request may have ended this one.
    const bool waits = pending_request_ != nullptr && awaiting_admission_;
    if (const auto barred = waits ? obstacle() : std::nullopt)
    {
        withdraw_admission();
        respond_without_retry(*barred);
    }
}

} // namespace catkintally::entry
