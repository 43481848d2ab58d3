#pragma once

#include "counting_targets.hpp"
#include "fake_object_store.hpp"
#include "pausable_timers.hpp"

#include <catkintally/core/fleet/fleet_node.hpp>

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace catkintally::core::test
{

/// How a caller's request ended.
struct caller_result
{
    bool granted = false;
    bool ran = false;
    admission_answer answer;
    /// Runs of the key (or of the request without a key) when the answer was given.
    int runs_at_answer = 0;
};

/// One caller request on its way through an instance.
struct caller_request
{
    std::size_t node = 0;
    request_id id = 0;
    std::string key;
    bool idempotent = false;
    duration work = std::chrono::milliseconds(5);
    std::optional<caller_result> result;
};

/// Several fleet_nodes in one virtual time, joined by an in-memory network.
class fleet_harness
{
public:
    struct node
    {
        member self;
        std::unique_ptr<pausable_timers> timers;
        std::unique_ptr<fake_object_store> store;
        std::unique_ptr<fleet_node> fleet;
        bool alive = true;
        std::uint64_t last_epoch = 0;
        bool epoch_went_back = false;
    };

    explicit fleet_harness(std::uint64_t seed = 1)
        : random_(seed)
    {
    }
    ~fleet_harness();

    /// Starts `domains.size()` instances, one per entry, and waits until all have joined.
    void start(const std::vector<std::string>& domains, bool wait = true);
    /// Sends requests until every target is warm.
    void warm_up();
    std::size_t start_node(const std::string& domain, const std::optional<member>& earlier = {});
    /// Ends a process; with `restart`, the same instance starts again at the same address.
    void kill(std::size_t index);
    std::size_t restart(std::size_t index);
    void advance(duration time);

    /// Sends a caller's request to an instance; the result arrives later.
    std::shared_ptr<caller_request>
    call(std::size_t index, const std::string& key = {}, bool idempotent = false);
    /// Sends a keyed request and lets time pass until it has a result.
    caller_result call_and_wait(std::size_t index, const std::string& key);

    /// Index of the live instance that owns or witnesses the service in the newest stored view.
    [[nodiscard]] std::size_t owner() const;
    [[nodiscard]] std::size_t witness() const;
    [[nodiscard]] std::size_t other(const std::set<std::size_t>& excluded) const;
    [[nodiscard]] view stored_view() const;
    [[nodiscard]] std::size_t index_of(const member_id& id) const;

    /// Cuts or heals both directions between two instances.
    void cut(std::size_t left, std::size_t right, bool is_cut = true);
    void isolate(std::size_t index, bool is_cut = true);

    /// Checks what must hold in every schedule.
    void check_invariants() const;

    manual_timer_service clock;
    fake_store_state store;
    counting_targets targets;
    table_snapshot table;
    std::vector<std::unique_ptr<node>> nodes;
    /// Called between the check and the first byte of a request; a result delays the first byte.
    std::function<std::optional<duration>(const caller_request&)> before_send;
    duration work = std::chrono::milliseconds(5);
    double drop_rate = 0;

private:
    void deliver(std::size_t from, const member_id& to, wire::payloadUnion message);
    void on_answer(const std::shared_ptr<caller_request>& request, const admission_answer& answer);
    void ask(const std::shared_ptr<caller_request>& request);
    void run_at_target(const std::shared_ptr<caller_request>& request, const std::string& target);

    std::mt19937_64 random_;
    std::set<std::pair<std::size_t, std::size_t>> cuts_;
    request_id next_id_ = 1;
    std::uint64_t next_incarnation_ = 1;
    std::vector<std::shared_ptr<caller_request>> requests_;
};

/// A table with one service "desk" of four targets in two failure domains.
[[nodiscard]] table_snapshot desk_table();

} // namespace catkintally::core::test
