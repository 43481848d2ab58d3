#pragma once

#include <catkintally/runtime/http/http_client.hpp>
#include <catkintally/stand_ins/load/load_options.hpp>
#include <catkintally/stand_ins/load/load_summary.hpp>

#include <functional>
#include <map>
#include <random>

namespace catkintally::stand_ins
{

/// Open-loop callers: requests start at times that follow from the seed alone, whatever the
/// answers. A caller of an order sends the same key again, to another instance, until it has a
/// final answer or gives up.
class load_driver
{
public:
    /// `loop` and `timers` must outlive this object.
    load_driver(runtime::event_loop& loop, core::timer_service& timers, load_options options);

    /// Starts the load; calls `done` when the last caller has ended.
    void start(std::function<void()> done);

    [[nodiscard]] const load_summary& summary() const { return summary_; }

private:
    struct caller
    {
        bool order = false;
        std::string key;
        std::size_t instance = 0;
        unsigned attempts = 0;
        core::duration sent{};
    };

    void schedule_next(bool order);
    void begin(bool order);
    void send(std::uint64_t id);
    void on_response(std::uint64_t id, const runtime::http_response& response);
    void end(std::uint64_t id, call_result result);
    [[nodiscard]] core::duration elapsed() const { return timers_.now() - started_; }

    core::timer_service& timers_;
    load_options options_;
    runtime::http_client client_;
    load_summary summary_;
    std::mt19937_64 random_;
    core::time_point started_{};
    /// Planned time of the next lookup and the next order.
    std::array<core::duration, 2> next_start_{};
    unsigned streams_ = 0;
    std::uint64_t next_id_ = 1;
    std::map<std::uint64_t, caller> callers_;
    std::function<void()> done_;
};

} // namespace catkintally::stand_ins
