#pragma once

#include <catkintally/core/time/timer_service.hpp>
#include <catkintally/runtime/time/event_loop.hpp>
#include <catkintally/stand_ins/platform/rate_limit.hpp>
#include <catkintally/stand_ins/platform/versioned_objects.hpp>

#include <boost/json.hpp>

#include <list>
#include <memory>
#include <optional>
#include <random>
#include <string>

struct evhttp;
struct evhttp_request;

namespace catkintally::stand_ins
{

struct platform_stand_in_options
{
    /// IP address to listen on.
    std::string address = "127.0.0.1";
    /// TCP port; 0 takes a free one.
    std::uint16_t port = 0;
    /// Seed of the delays and of the choice of lost answers.
    std::uint64_t seed = 1;
    /// Writes a second before calls are refused with 429.
    double writes_per_s = 300;
    /// Reads a second before calls are refused with 429.
    double reads_per_s = 2000;
    /// Changes that a watch can look back on.
    std::size_t history_limit = 10'000;
};

/// Server with the platform's object API (section 8 of docs/design.md) for tests and measurements,
/// with switches for the faults that the real API has. Call control() or send POST /control with
/// any of these members: outage (bool: 503 to every call), silent (bool: no call is answered),
/// slow_ms (each call takes between half and one and a half times this, and takes effect
/// half-way), lose_answer_percent and lose_answers (the next N writes: the change takes effect, the
/// connection closes without an answer), forget_history (bool: watches from before are refused),
/// save_copy and return_from_copy (bool: the store loses all changes in between, and its era rises
/// by one), era (text of the header instead of the true one; empty for none, null for the true
/// one), writes_per_s, reads_per_s, seed, set_instance (object of kind "instances"),
/// remove_instance (id). Finalizers, and the status as a call of its own, are not part of it.
class platform_stand_in
{
public:
    /// Starts to listen. `loop` and `timers` must outlive this object.
    platform_stand_in(
        runtime::event_loop& loop,
        core::timer_service& timers,
        const platform_stand_in_options& options);
    ~platform_stand_in();
    platform_stand_in(const platform_stand_in&) = delete;
    platform_stand_in& operator=(const platform_stand_in&) = delete;

    /// Port it listens on, 0 if the address could not be bound.
    [[nodiscard]] std::uint16_t port() const { return port_; }

    /// Sets switches, as POST /control does; returns the state of the switches and the counts.
    boost::json::object control(const boost::json::object& switches);

    /// Objects in the store, to be read or changed without a call.
    versioned_objects& store() { return store_; }

    /// Answers the waiting watches that have an event; needed after a direct change of store().
    void notify_watches();

private:
    struct call;
    struct http_deleter
    {
        void operator()(evhttp* server) const;
    };
    struct counts
    {
        std::uint64_t reads = 0;
        std::uint64_t writes = 0;
        std::uint64_t watches = 0;
        std::uint64_t refused_rate = 0;
        std::uint64_t refused_outage = 0;
        std::uint64_t conflicts = 0;
        std::uint64_t lost_answers = 0;
    };

    void receive(evhttp_request* request);
    void receive_control(evhttp_request* request);
    void start_object_call(const std::shared_ptr<call>& started);
    void execute(const std::shared_ptr<call>& running);
    void execute_get(call& running);
    void execute_list(call& running);
    void execute_write(call& running);
    [[nodiscard]] bool lose_this_answer();
    void start_watch(const std::shared_ptr<call>& running);
    bool answer_watch_events(const std::shared_ptr<call>& waiting);
    void finish(const std::shared_ptr<call>& running);
    bool take_rate(const call& started);
    void wait_for_events(const std::shared_ptr<call>& waiting, core::duration left);
    void
    later(const std::shared_ptr<call>& waiting, core::duration delay, std::function<void()> next);
    [[nodiscard]] core::duration half_delay();
    [[nodiscard]] boost::json::object state() const;

    core::timer_service& timers_;
    std::unique_ptr<evhttp, http_deleter> server_;
    std::uint16_t port_ = 0;
    std::mt19937_64 random_;
    versioned_objects store_;
    rate_limit writes_;
    rate_limit reads_;
    bool outage_ = false;
    bool silent_ = false;
    std::optional<std::string> era_text_;
    std::uint64_t slow_ms_ = 0;
    std::uint64_t lose_answer_percent_ = 0;
    std::uint64_t lose_answers_ = 0;
    counts counts_;
    std::list<std::shared_ptr<call>> calls_;
};

} // namespace catkintally::stand_ins
