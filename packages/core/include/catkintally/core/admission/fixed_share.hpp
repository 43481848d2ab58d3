#pragma once

#include <catkintally/core/admission/admission_request.hpp>
#include <catkintally/core/table/table_snapshot.hpp>

#include <map>
#include <optional>

namespace catkintally::core
{

/// The part of a service's slots that one instance may use on its own while the service has no
/// owner. Slots are numbered over all targets that may take work, in the order of the table; slot p
/// belongs to active member p mod n. Instances with the same view and table agree, so together they
/// stay within the slots of each target.
class fixed_share
{
public:
    /// `timers` must outlive this object.
    explicit fixed_share(const timer_service& timers)
        : timers_(&timers)
    {
    }

    /// Takes over a table revision and the position of this instance among the active members. A
    /// member that is not active passes a count of 0 and has no slots.
    void apply(
        const service_config& config,
        const table_snapshot& table,
        std::size_t member,
        std::size_t member_count);

    /// An own request that an owner granted was answered by the target without an error.
    void record_granted_answer(const std::string& target);

    /// Takes one of the own slots; empty if none may be used now.
    std::optional<std::string>
    take(request_id id, const std::vector<std::string>& excluded_targets);

    /// Returns the slot of a request.
    void release(request_id id);

    /// How long an answer is taken as a sign that the target is warm.
    static constexpr duration warm_timeout = std::chrono::seconds(10);

private:
    struct share
    {
        std::string target;
        std::uint32_t own_slots = 0;
        /// Slot 0 of the target is the own one.
        bool owns_first = false;
    };

    [[nodiscard]] bool believed_warm(const std::string& target) const;
    [[nodiscard]] std::uint32_t used(const std::string& target) const;

    const timer_service* timers_;
    std::vector<share> shares_;
    std::map<std::string, time_point> answered_at_;
    std::map<request_id, std::string> in_use_;
};

} // namespace catkintally::core
