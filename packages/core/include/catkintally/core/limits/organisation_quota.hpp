#pragma once

#include <catkintally/core/admission/split_mix.hpp>
#include <catkintally/core/limits/demand_exchange.hpp>
#include <catkintally/core/limits/limit_share.hpp>
#include <catkintally/core/limits/quota_window.hpp>
#include <catkintally/core/limits/token_bucket.hpp>
#include <catkintally/core/limits/token_lending.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace catkintally::core
{

/// Answer to a request for a token of a quota.
struct quota_decision
{
    /// The request has a token and may start after `wait`.
    bool admitted = true;
    duration wait{};
    /// Not admitted: when the caller should come back.
    duration retry_after{};
};

/// Fixed inputs of an organisation_quota.
struct organisation_quota_options
{
    /// Source of time; must outlive the object.
    timer_service* timers = nullptr;
    /// Name of this instance.
    std::string self;
    /// Differs between runs of this instance.
    std::uint64_t incarnation = 0;
    std::uint64_t seed = 0;
    quota_window window{};
    /// True while this instance hears of changes like the others. Shares do not grow otherwise.
    /// Empty: always true.
    std::function<bool()> in_contact{};
    /// Sends demand reports, own ones and received ones, to the neighbours; may be empty.
    std::function<void(const std::vector<demand_report>&)> send_demand{};
    /// Names of the instances with a link. Empty, as the next hook: tokens are not lent.
    std::function<std::vector<std::string>()> neighbours{};
    std::function<void(const std::string& neighbour, const token_message&)> send_tokens{};
};

/// State of one quota, for the dump.
struct organisation_quota_dump
{
    std::string organisation;
    double per_second = 0;
    double burst = 0;
    limit_share share;
    double tokens = 0;
    /// Requests per second here and, as reported, at all instances.
    double demand = 0;
    double reported_demand = 0;
    std::uint64_t admitted = 0;
    std::uint64_t refused = 0;
};

/// Keeps the requests of each organisation, summed over all instances, within its quota.
///
/// Works as target_rate_limiter does: each instance reports its demand, all compute the same shares
/// from the reports (divide_quota), and a token bucket enforces the own one. The differences follow
/// from the number of organisations and the small demand of most. A share grows a quarter of a
/// second after the report that justifies it, and only while the instance is in contact. An
/// instance without a token borrows one (token_lending), because a bucket that gets a token in ten
/// seconds refuses a third of the requests that come at random at two thirds of that rate.
class organisation_quota
{
public:
    explicit organisation_quota(organisation_quota_options options);
    ~organisation_quota();
    organisation_quota(const organisation_quota&) = delete;
    organisation_quota& operator=(const organisation_quota&) = delete;

    /// Applies the quotas of a table revision.
    void apply(const table_snapshot& table);

    /// Takes a token for a request, or reserves one that is due within `longest_wait`. Admits
    /// everything of an organisation without a quota.
    quota_decision take(const std::string& organisation, duration longest_wait = {});

    /// As take(), but asks other instances for a token first if there is none. Calls `done` once,
    /// within `longest_wait`, and at once if it need not ask.
    void request(
        const std::string& organisation,
        duration longest_wait,
        const std::function<void(const quota_decision&)>& done);

    /// Returns the token of a request that ended without having been executed.
    void refund(const std::string& organisation);

    /// True if the organisation has a quota.
    [[nodiscard]] bool has_quota(const std::string& organisation) const
    {
        return quotas_.contains(organisation);
    }

    /// Records demand reports that a neighbour sent, and passes on those that are new.
    void merge_demand(const std::vector<demand_report>& reports, const std::string& neighbour);

    /// Handles a message of a neighbour about tokens.
    void receive(const token_message& message, const std::string& neighbour)
    {
        lending_.receive(message, neighbour);
    }

    /// Tells the other instances that this one will send no more requests.
    void leave();

    /// Demand reports to be sent to an instance that starts.
    [[nodiscard]] std::vector<demand_report> demand_reports() const { return demand_.reports(); }

    [[nodiscard]] std::vector<organisation_quota_dump> dump();

    [[nodiscard]] std::size_t quotas() const { return quotas_.size(); }
    [[nodiscard]] std::size_t known_reports() const { return demand_.known_reports(); }
    [[nodiscard]] std::uint64_t refused() const { return refused_; }
    [[nodiscard]] const token_lending& lending() const { return lending_; }

    /// Hash of an organisation's name in messages, the same in all instances.
    [[nodiscard]] static std::uint64_t organisation_hash(std::string_view name)
    {
        return name_hash(name) & 0xffff'ffffU;
    }

    /// Reports are renewed at this interval and forgotten after the retention time, for which two
    /// parts of the fleet that do not hear each other keep the quota together. An instance that is
    /// killed and does not return reserves its share for as long.
    static constexpr duration renewal_interval = std::chrono::seconds(60);
    static constexpr duration retention_time = std::chrono::seconds(150);

private:
    /// The quota of one organisation.
    struct quota
    {
        organisation_row row{};
        divided_quota inputs{};
        limit_share share{};
        /// Instances with a share, as of the last computation.
        std::vector<std::uint64_t> holders{};
        /// Share that the others know of: that of one or two contact_lag ago, while this instance
        /// was certainly in contact, and the candidate that replaces it.
        limit_share contact_share{};
        limit_share next_contact_share{};
        time_point contact_share_at{};
        time_point computed_at{};
        bool started = false;
        /// When this instance first heard of a demand of the organisation.
        time_point first_demand_at{};
        /// Nobody sent requests of the organisation in the window before the first demand.
        bool rested = false;
        bool had_share = false;
        /// Reports have changed since the last computation.
        bool outdated = true;
        token_bucket bucket;
        /// Until then all tokens are promised to callers that were refused.
        time_point promised_until{};
        /// Requests since the organisation had callers here last.
        std::uint32_t unreported = 0;
        time_point last_request_at{};
        std::uint64_t admitted = 0;
        std::uint64_t refused = 0;
    };

    [[nodiscard]] token_lending_options lending_options();
    quota* find(const std::string& organisation);
    quota* find(std::uint32_t hash);
    void record(quota& self);
    void update_share(quota& self);
    /// True if this instance started within the last window, together with all others that are
    /// known.
    [[nodiscard]] bool has_fleet_started() const;
    /// Notes that there is a demand of the organisation, here or elsewhere.
    void note_demand(quota& self);
    [[nodiscard]] limit_share compute_share(const quota& self);
    /// True if most instances have been silent for so long that they may have shared out the part
    /// of this one.
    [[nodiscard]] bool is_given_up();
    /// True if shares may grow.
    [[nodiscard]] bool in_contact();
    /// Takes a token by `latest`, own or borrowed.
    void obtain(
        const std::string& organisation,
        time_point latest,
        int asks,
        const std::function<void(const quota_decision&)>& done);
    quota_decision decide(quota& self, duration longest_wait);
    [[nodiscard]] duration retry_after(quota& self);
    [[nodiscard]] std::uint16_t give(std::uint32_t organisation, std::uint16_t most);
    void clean_up();

    organisation_quota_options options_;
    split_mix random_;
    demand_exchange demand_;
    token_lending lending_;
    std::map<std::string, quota> quotas_;
    std::map<std::uint32_t, std::string> names_;
    std::uint64_t refused_ = 0;
    time_point created_at_{};
    bool leaving_ = false;
    bool has_contact_ = true;
    time_point contact_since_{};
    bool given_up_ = false;
    time_point given_up_checked_at_{};
    timer_id clean_up_timer_ = 0;
};

} // namespace catkintally::core
