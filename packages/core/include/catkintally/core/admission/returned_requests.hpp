#pragma once

#include <catkintally/core/time/timer_service.hpp>

#include <cstddef>
#include <cstdint>
#include <map>

namespace catkintally::core
{

/// Requests that this instance has refused, by fingerprint, until some time after their callers
/// were told to return. Recognises a caller that returns when it was told to.
///
/// Nothing in a request says that it was refused before. Equal requests of different callers have
/// equal fingerprints, so the result is a good guess, and callers that return to another instance
/// are not recognised.
class returned_requests
{
public:
    /// Records a refusal; the caller was told to return after `retry_after`.
    void refused(std::uint64_t fingerprint, time_point now, duration retry_after);

    /// True if a request with this fingerprint was refused and is due. The refusal is forgotten, so
    /// that it counts for one request.
    [[nodiscard]] bool take(std::uint64_t fingerprint, time_point now);

    [[nodiscard]] std::size_t size() const { return due_.size(); }

    static constexpr std::size_t max_size = 512;

private:
    /// Time from which the caller of a refused request may return.
    std::map<std::uint64_t, time_point> due_;
};

} // namespace catkintally::core
