#pragma once

#include <catkintally/core/fleet/proven_rule.hpp>
#include <catkintally/core/idempotency/idempotency_record.hpp>
#include <catkintally/core/time/timer_service.hpp>

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace catkintally::core
{

/// Members that have not answered within this time count as silent.
inline constexpr duration recovery_timeout = std::chrono::milliseconds(150);

/// A grant that a member has in flight.
struct recovered_grant
{
    request_id id = 0;
    std::string target;
    duration deadline_left{};
    std::string key;
    member_id dispatcher;
};

/// What the answers to a recover_request amount to.
struct recovery_result
{
    /// The records are all there are.
    bool proven = false;
    /// Every member of the old and the new view answered.
    bool all_replied = false;
    std::vector<idempotency_record> records;
    std::vector<wire::target_state_data> phases;
    std::vector<recovered_grant> grants;
};

/// Inputs and hooks of one recovery.
struct recovery_options
{
    timer_service* timers = nullptr;
    std::string service;
    member_id self;
    /// View in whose epoch this instance became the owner.
    view current;
    /// Former members that may still have requests in flight. They are asked, but not waited for.
    std::set<member_id> removed;
    /// See record_set_proven.
    std::function<bool(std::uint64_t epoch)> expired;
    /// Sends a recover_request to a member.
    std::function<void(const member_id&)> ask;
    /// Called once when all have answered or the time is over, and again for each later answer with
    /// what that answer adds.
    std::function<void(const recovery_result&)> done;
};

/// Collects what the members know about one service after an epoch change (design, section 4.4).
class recovery
{
public:
    explicit recovery(recovery_options options);
    ~recovery();
    recovery(const recovery&) = delete;
    recovery& operator=(const recovery&) = delete;

    /// Asks every member of the old and the new view.
    void start();

    /// Takes over an answer; late answers are still merged.
    void reply(const member_id& from, const wire::recover_reply_data& data);

    /// True after the first call of `done`.
    [[nodiscard]] bool finished() const { return finished_; }

private:
    void ask_missing();
    void finish_if_complete();
    void finish();

    struct answer
    {
        time_point received{};
        wire::recover_reply_data data;
    };
    using answers = std::map<member_id, answer>;

    [[nodiscard]] recovery_result merge(const answers& merged) const;
    void merge_records(recovery_result& result, const answers& merged) const;
    static void merge_phases(recovery_result& result, const answers& merged);
    [[nodiscard]] complete_epochs reported_epochs() const;

    recovery_options options_;
    /// Members whose answer is waited for.
    std::set<member_id> awaited_;
    answers answers_;
    bool finished_ = false;
    int rounds_ = 0;
    timer_id retry_timer_ = 0;
    timer_id end_timer_ = 0;
};

} // namespace catkintally::core
