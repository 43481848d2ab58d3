#pragma once

#include <catkintally/core/fleet/member.hpp>
#include <catkintally/core/idempotency/key_registry.hpp>

#include <map>
#include <set>
#include <string>
#include <vector>

namespace catkintally::core
{

/// What a keeper (owner or witness, present or former) knows about one service.
struct service_copy
{
    /// Newest epoch in which the record set was complete here.
    std::uint64_t complete_epoch = 0;
    key_registry records;
    std::vector<wire::target_state_data> phases;
    /// When the phases were received.
    time_point phases_at{};
};

/// What this instance knows as a member: the copies it keeps as witness or former owner, and its
/// own idempotency records as dispatcher. Answers recover_requests.
class member_state
{
public:
    explicit member_state(timer_service& timers)
        : timers_(timers)
    {
    }

    /// Names an incarnation of this process. Only its own incarnations' grants are known here.
    void add_self(const member_id& id) { own_names_.insert(to_text(id)); }

    /// Retention time of a service, from the table.
    void set_retention(const std::string& service, duration retention);

    /// Takes over a put from the owner of the present epoch. False if it is older than another put
    /// of the same epoch and so must not be acknowledged.
    bool apply(const wire::witness_put_data& put);

    /// Keeps what this instance knew as owner.
    void keep(const std::string& service, service_copy copy);

    /// Newest epoch in which this instance held the complete record set as witness or former owner.
    [[nodiscard]] std::uint64_t complete_epoch(const std::string& service) const;

    /// Records of keyed requests that this instance dispatches.
    [[nodiscard]] key_registry& own_records(const std::string& service);

    /// Answer to a recover_request, without the grants in flight.
    [[nodiscard]] wire::recover_reply_data
    recover_reply(const std::string& service, std::uint64_t epoch, const member_id& self);

    /// Drops records past their retention time.
    void expire();

private:
    /// A copy that the owner of `epoch` is still sending. It replaces the kept copy only when it is
    /// complete, because the kept copy may be the only complete one.
    struct staged_copy
    {
        std::uint64_t epoch = 0;
        std::uint64_t sequence = 0;
        bool complete = false;
        key_registry records;
    };
    struct service_entry
    {
        service_copy kept;
        staged_copy staged;
        key_registry own;
        duration retention = std::chrono::minutes(10);
    };

    service_entry& entry_of(const std::string& service);

    timer_service& timers_;
    std::set<std::string> own_names_;
    std::map<std::string, service_entry> services_;
};

} // namespace catkintally::core
