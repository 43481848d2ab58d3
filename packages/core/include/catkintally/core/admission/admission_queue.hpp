#pragma once

#include <catkintally/core/admission/admission_request.hpp>
#include <catkintally/core/table/service_row.hpp>

#include <deque>
#include <functional>
#include <optional>
#include <vector>

namespace catkintally::core
{

/// A request that waits for a place.
struct queued_request
{
    admission_request request;
    work_class work = work_class::lookup;
    /// The caller's deadline.
    time_point deadline{};
    /// Time before the deadline at which the request is given up.
    duration reserve{};
};

/// Requests of one service that wait for a place, in two classes. Orders and lookups come first;
/// archive work gets at least every 8th place while it waits.
class admission_queue
{
public:
    /// Appends a request to its class.
    void push(queued_request entry);

    /// Removes and returns the next request for which `fits` is true; empty if there is none.
    std::optional<queued_request> pop(const std::function<bool(const queued_request&)>& fits);

    /// Removes the request; empty if it does not wait.
    std::optional<queued_request> remove(request_id id);

    /// Removes and returns one request whose deadline, less its reserve, is at or before `limit`.
    std::optional<queued_request> pop_due(time_point limit);

    /// Earliest deadline, less the reserve, of all waiting requests.
    [[nodiscard]] std::optional<time_point> earliest_deadline() const;

    /// True if the request waits.
    [[nodiscard]] bool contains(request_id id) const;

    [[nodiscard]] std::size_t size() const { return front_.size() + archive_.size(); }
    [[nodiscard]] std::size_t front_size() const { return front_.size(); }
    [[nodiscard]] std::size_t archive_size() const { return archive_.size(); }

    /// Empties the queue in order of service.
    std::vector<queued_request> take_all();

private:
    static constexpr std::uint32_t archive_interval = 8;

    std::deque<queued_request> front_;
    std::deque<queued_request> archive_;
    /// Places given to the front class since archive work last got one while it waited.
    std::uint32_t passed_over_ = 0;
};

} // namespace catkintally::core
