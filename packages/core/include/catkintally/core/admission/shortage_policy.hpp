#pragma once

#include <catkintally/core/admission/admission_request.hpp>
#include <catkintally/core/admission/organisation_usage.hpp>
#include <catkintally/core/admission/returned_requests.hpp>
#include <catkintally/core/admission/service_shortage.hpp>
#include <catkintally/core/admission/split_mix.hpp>
#include <catkintally/core/table/table_snapshot.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace catkintally::core
{

/// Fixed inputs of a shortage_policy.
struct shortage_policy_options
{
    /// The policy applies to services all of whose targets have at least this many slots.
    std::uint32_t min_slots = 4;
    std::uint64_t seed = 0;
    organisation_usage::fleet_rate organisation_rate{};
};

/// How one request is treated while its service is short of free slots.
struct shortage_terms
{
    /// False: the request is treated as if there were no policy.
    bool short_of_slots = false;
    /// 0 for the most urgent requests of the service.
    std::uint32_t rank = 0;
    /// The request is one by which its organisation exceeds its share.
    bool excess = false;
    /// The request is refused at once: its caller's deadline ends before its work would.
    bool refused = false;
    /// Time for which the request probes again; unset: the usual one.
    std::optional<duration> probing_time;
    /// Shortest time between two passes over the targets, if longer than the usual one.
    duration min_probe_interval{};
};

/// Decides which requests leave free slots to others while a service is short of them, how long
/// they look for one, and when callers that are refused should return.
///
/// Each instance decides from what it observes itself. Requests of lower priority leave the last
/// slots of each target to those of higher priority, so that the latter find a slot wherever they
/// probe. Where all requests are equally urgent, they leave the slots free that make targets slow.
/// Requests by which an organisation exceeds its share count as of lower priority. Requests
/// of a priority or an organisation that is served much less often than the average leave nothing.
class shortage_policy
{
public:
    explicit shortage_policy(shortage_policy_options options);

    /// Applies a table revision.
    void apply(const table_snapshot& table);

    /// True if the policy applies to the service.
    [[nodiscard]] bool covers(const std::string& service) const
    {
        return services_.contains(service);
    }

    /// Records a request and determines its terms.
    [[nodiscard]] shortage_terms admit(const admission_request& request, time_point now);

    /// Number of free slots that must remain at a target with so many slots if the request is sent
    /// to it.
    [[nodiscard]] std::uint32_t reserve(
        const admission_request& request,
        const shortage_terms& terms,
        std::uint32_t slots,
        time_point now) const;

    /// Records whether the probes for a request, of all rounds of one pass, found a slot.
    void record_pass(const std::string& service, bool found, time_point now);

    /// Records the end of an admission, other than by cancellation.
    void record_decision(
        const admission_request& request,
        const shortage_terms& terms,
        bool granted,
        time_point now);

    /// Records how long a target worked on a request that it answered. `nearly_full`: nearly all of
    /// its slots were in use when it was chosen.
    void record_work(
        const std::string& service, std::uint32_t priority, duration work, bool nearly_full);

    /// Retry-After time of a refusal for lack of slots; `usual` is the one without the policy.
    [[nodiscard]] duration retry_after(
        const admission_request& request,
        const shortage_terms& terms,
        duration usual,
        time_point now);

    [[nodiscard]] bool is_short(const std::string& service, time_point now) const;

    /// Services to which the policy applies.
    [[nodiscard]] std::vector<shortage_dump> dump(time_point now) const;

private:
    struct covered_service
    {
        /// Fewest slots of a target.
        std::uint32_t slots = 0;
        service_shortage shortage;
    };

    [[nodiscard]] bool
    yields(const service_shortage& shortage, const std::string& organisation, time_point now);

    shortage_policy_options options_;
    std::map<std::string, covered_service> services_;
    organisation_usage organisations_;
    returned_requests returned_;
    split_mix random_;
};

} // namespace catkintally::core
