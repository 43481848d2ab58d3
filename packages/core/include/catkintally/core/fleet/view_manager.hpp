#pragma once

#include <catkintally/core/fleet/fleet_event.hpp>
#include <catkintally/core/fleet/view.hpp>
#include <catkintally/core/store/object_store.hpp>
#include <catkintally/core/time/timer_service.hpp>

#include <memory>
#include <random>
#include <set>
#include <string>

namespace catkintally::core
{

/// Hooks and inputs of a view_manager.
struct view_manager_options
{
    timer_service* timers = nullptr;
    object_store* store = nullptr;
    /// This instance in its first incarnation.
    member self;
    std::uint64_t seed = 0;
    /// A newer view is in force.
    std::function<void()> adopted;
    fleet_event_hook event;
    /// Key of the view in the platform's store.
    std::string key = "fleet/view";
    /// Pause between two reads of an unchanged view.
    duration poll_interval = std::chrono::seconds(1);
};

/// Keeps the newest known view and changes it in the store by conditional updates until it contains
/// what this instance wants: itself as a member, active or leaving, and no suspected members.
class view_manager
{
public:
    explicit view_manager(view_manager_options options);
    ~view_manager();
    view_manager(const view_manager&) = delete;
    view_manager& operator=(const view_manager&) = delete;

    /// Newest known view; epoch 0 before the first.
    [[nodiscard]] const view& current() const { return current_; }

    /// This instance in its present incarnation.
    [[nodiscard]] const member& self() const { return options_.self; }

    /// True while this instance in its present incarnation is in the view.
    [[nodiscard]] bool joined() const { return current_.find(options_.self.id) != nullptr; }

    /// Start of the newest call that the store answered.
    [[nodiscard]] std::optional<time_point> store_heard() const { return store_heard_; }

    /// False after a call that the store did not answer.
    [[nodiscard]] bool store_reachable() const { return store_reachable_; }

    /// Makes this instance a member. Called once the instance has a table.
    void join();

    /// Sets this instance to leaving.
    void leave();

    /// Removes this instance for good.
    void retire();

    /// Replaces the set of members that should be removed. They are named by id, so that a new
    /// incarnation is not removed in place of the old one.
    void suspect(std::set<member_id> suspects);

    /// Takes over a view from another member if it is newer. False if it cannot be parsed.
    bool offer(const std::string& view_json);

    /// Starts a call to the store if one is due. Called from the owner's regular tick.
    void tick();

private:
    enum class goal : std::uint8_t
    {
        observe,
        active,
        leaving,
        gone
    };

    std::optional<std::vector<member>> wanted_change(const view& base) const;
    void read();
    void on_read(const store_result& result, time_point started);
    void write(const view& base, std::vector<member> members, std::uint64_t version);
    void on_written(const view& next, const store_result& result, time_point started);
    void note_answer(store_status status, time_point started);
    void retry_after_failure();
    void adopt(const view& newer);
    [[nodiscard]] bool has_active_peer(const view& base) const;

    view_manager_options options_;
    std::mt19937_64 random_;
    view current_;
    goal goal_ = goal::observe;
    std::set<member_id> suspects_;
    bool was_member_ = false;
    bool busy_ = false;
    bool read_due_ = true;
    time_point not_before_{};
    duration back_off_{};
    std::optional<time_point> store_heard_;
    bool store_reachable_ = false;
    /// Calls in progress hold a weak reference, so that late answers find the manager gone.
    std::shared_ptr<view_manager*> alive_;
};

} // namespace catkintally::core
