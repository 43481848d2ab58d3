#pragma once

#include <catkintally/core/admission/admission_request.hpp>
#include <catkintally/core/table/table_snapshot.hpp>

#include <map>
#include <optional>

namespace catkintally::core
{

/// Static partition of a service's slots: the part that one instance may use while the service has
/// no owner. Slots are numbered over all targets that may receive requests, in the order of the
/// table; slot p belongs to active member p mod n. Instances with the same view and table compute
/// the same partition, so together they stay within the slots of each target.
class fixed_share
{
public:
    /// `timers` must outlive this object.
    explicit fixed_share(const timer_service& timers)
        : timers_(&timers)
    {
    }

    /// Applies a table revision and the index of this instance among the active members. A member
    /// that is not active passes a count of 0 and has no slots.
    void apply(
        const service_config& config,
        const table_snapshot& table,
        std::size_t member,
        std::size_t member_count);

    /// Records that the target answered, without an error, a request of this instance that an owner
    /// had granted.
    void record_granted_answer(const std::string& target);

    /// Allocates one of this instance's slots and returns its target; empty if none may be used.
    std::optional<std::string>
    take(request_id id, const std::vector<std::string>& excluded_targets);

    /// Frees the slot of a request.
    void release(request_id id);

    /// How long a target counts as warm after an answer.
    static constexpr duration warm_timeout = std::chrono::seconds(10);

private:
    struct share
    {
        std::string target;
        std::uint32_t own_slots = 0;
        /// True if slot 0 of the target belongs to this instance.
        bool owns_first = false;
    };

    [[nodiscard]] bool assumed_warm(const std::string& target) const;
    [[nodiscard]] std::uint32_t used(const std::string& target) const;

    const timer_service* timers_;
    std::vector<share> shares_;
    std::map<std::string, time_point> answered_at_;
    std::map<request_id, std::string> in_use_;
};

} // namespace catkintally::core
