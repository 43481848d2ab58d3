#pragma once

#include <catkintally/core/admission/admission_request.hpp>
#include <catkintally/core/table/service_row.hpp>

#include <deque>
#include <functional>
#include <optional>
#include <vector>

namespace catkintally::core
{

/// A request that waits for a target.
struct queued_request
{
    admission_request request;
    work_class work = work_class::lookup;
    /// The caller's deadline.
    time_point deadline{};
    /// Time before the deadline at which the request is refused.
    duration reserve{};
};

/// Queue of one service with two priority classes. Orders and lookups come first; archive requests
/// get at least every 8th grant while they wait.
class admission_queue
{
public:
    /// Appends a request to its class.
    void push(queued_request entry);

    /// Removes and returns the next request for which `fits` is true; empty if there is none.
    std::optional<queued_request> pop(const std::function<bool(const queued_request&)>& fits);

    /// Removes and returns the request; empty if it is not queued.
    std::optional<queued_request> remove(request_id id);

    /// Removes and returns one request whose deadline minus its reserve is at or before `limit`.
    std::optional<queued_request> pop_due(time_point limit);

    /// Earliest deadline minus reserve of all queued requests.
    [[nodiscard]] std::optional<time_point> earliest_deadline() const;

    /// True if the request is queued.
    [[nodiscard]] bool contains(request_id id) const;

    [[nodiscard]] std::size_t size() const { return front_.size() + archive_.size(); }
    [[nodiscard]] std::size_t front_size() const { return front_.size(); }
    [[nodiscard]] std::size_t archive_size() const { return archive_.size(); }

    /// Empties the queue: orders and lookups first, then archive requests, each in order of
    /// arrival.
    std::vector<queued_request> take_all();

private:
    static constexpr std::uint32_t archive_interval = 8;

    std::deque<queued_request> front_;
    std::deque<queued_request> archive_;
    /// Grants to the front class since the last one to archive work, while archive work waits.
    std::uint32_t passed_over_ = 0;
};

} // namespace catkintally::core
