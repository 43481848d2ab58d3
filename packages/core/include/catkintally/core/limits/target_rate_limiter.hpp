#pragma once

#include <catkintally/core/admission/split_mix.hpp>
#include <catkintally/core/limits/demand_exchange.hpp>
#include <catkintally/core/limits/limit_share.hpp>
#include <catkintally/core/limits/target_limit_registry.hpp>
#include <catkintally/core/limits/token_bucket.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace catkintally::core
{

/// Fixed inputs of a target_rate_limiter.
struct target_rate_limiter_options
{
    /// Source of time; must outlive the object.
    timer_service* timers = nullptr;
    /// Name of this instance.
    std::string self;
    /// Differs between runs of this instance.
    std::uint64_t incarnation = 0;
    std::string failure_domain;
    /// Returns the estimated number of live instances; may be empty if this is the only one.
    std::function<std::size_t()> instances{};
    /// Sends a limit that this instance has read from a response to all instances; may be empty.
    std::function<void(const target_limit&)> announce_limit{};
    /// Sends demand reports, own ones and received ones, to the neighbours; may be empty.
    std::function<void(const std::vector<demand_report>&)> send_demand{};
    /// Called when a limit that applies to a target of the table has changed; may be empty.
    /// `previous` is empty if there was none.
    std::function<void(const target_limit& current, std::optional<double> previous)> on_changed{};
    /// Called for a malformed limit, at most once per target in `log_interval`; may be
    /// empty.
    std::function<void(const std::string& service, const std::string& target, const std::string&)>
        on_malformed{};
    /// Called for a received limit that there is no room for, at most once in `log_interval`; may
    /// be empty.
    std::function<void(const target_limit&)> on_dropped{};
};

/// State of one limited target, for the dump and the log.
struct target_limit_dump
{
    std::string service;
    std::string target;
    double per_second = 0;
    /// Instance that read the limit from a response.
    std::string source;
    /// Time since this instance learned of the limit.
    duration known_for{};
    /// Part of the limit that this instance may use.
    limit_share share;
    double tokens = 0;
};

/// Keeps requests to targets that name a limit, summed over all instances, within that limit.
///
/// Limits are shared between all instances. Each instance also reports its demand for services with
/// limited targets, and divides each limit in proportion to the demands (see divide_limit). No
/// instance grants anything to another, so that none is waited for: a share is computed from
/// reports that are renewed every few seconds. An own share grows only some time after the own
/// report was sent, when the other instances have reduced theirs.
class target_rate_limiter
{
public:
    explicit target_rate_limiter(target_rate_limiter_options options);

    /// Applies a table revision.
    void apply(std::shared_ptr<const table_snapshot> table);

    /// Records a request of a caller for the service.
    void record_request(const std::string& service) { demand_.record_request(service); }

    /// True if some target of the service is limited.
    [[nodiscard]] bool has_limits(const std::string& service) const;

    /// True if a request may be sent to the target now.
    [[nodiscard]] bool may_send(const std::string& service, const target_row& target);

    /// Uses a token for a request that is about to be sent.
    void take(const std::string& service, const target_row& target);

    /// Returns the token of a request that was not sent.
    void refund(const std::string& service, const target_row& target);

    /// Time until the first token for one of the service's limited targets that take new work;
    /// nullopt if there is no such target, or none for which this instance has a share.
    [[nodiscard]] std::optional<duration> time_to_token(const std::string& service);

    /// Number of tokens for such targets that become available within `span`.
    [[nodiscard]] std::size_t tokens_within(const std::string& service, duration span);

    /// Time after which a refused caller should return. Callers that are refused one after the
    /// other get times that are spaced according to the limits.
    [[nodiscard]] duration retry_after(const std::string& service);

    /// Applies a statement in a response of the target.
    void observe(const std::string& service, const target_row& target, const observed_statement&);

    /// Applies a limit that another instance sent; true if it was unknown here.
    bool merge_limit(const target_limit& received);

    /// Records demand reports that another instance sent, and passes on those that are new.
    void merge_demand(const std::vector<demand_report>& reports) { demand_.merge(reports); }

    /// Tells the other instances that this one will send no more requests.
    void leave();

    /// Limits to be sent to an instance that starts.
    [[nodiscard]] std::vector<target_limit> limits() const { return limits_.all(); }

    /// Demand reports to be sent to an instance that starts.
    [[nodiscard]] std::vector<demand_report> demand_reports() const { return demand_.reports(); }

    /// Limited targets of the service; of all services if the name is empty.
    [[nodiscard]] std::vector<target_limit_dump> dump(const std::string& service = {});

    /// Number of targets in the table that are limited.
    [[nodiscard]] std::size_t limited_targets() const;

    /// Number of malformed limits in responses.
    [[nodiscard]] std::uint64_t malformed() const { return malformed_; }

    /// Demand reports that are known.
    [[nodiscard]] std::size_t known_reports() const { return demand_.known_reports(); }

    static constexpr duration log_interval = std::chrono::seconds(10);

private:
    /// A limited target of the table.
    struct enforced_limit
    {
        std::string service;
        std::uint64_t incarnation = 0;
        /// What was last learned about the limit.
        known_limit known;
        limited_target inputs;
        limit_share share;
        time_point share_computed_at{};
        token_bucket bucket;
        bool takes_work = true;
    };
    using enforced_limits_of_service = std::map<std::string, enforced_limit>;

    /// Brings the entry of a target of the table up to date with the target's limit.
    void update_limited(const std::string& service, const target_row& target);
    enforced_limit& add_limited(const std::string& service, const target_row& target);
    void remove_limited(const std::string& service, const std::string& target);
    void rebuild();
    /// Service and name of each limited target.
    [[nodiscard]] std::vector<std::pair<std::string, std::string>> limited_names() const;
    enforced_limit* find(const std::string& service, const target_row& target);
    void update_share(enforced_limit& target);
    [[nodiscard]] limit_share compute_share(const enforced_limit& target);
    [[nodiscard]] std::size_t instances() const;

    target_rate_limiter_options options_;
    std::shared_ptr<const table_snapshot> table_ = std::make_shared<const table_snapshot>();
    target_limit_registry limits_;
    demand_exchange demand_;
    /// Limited targets of the table, by service and target.
    std::map<std::string, enforced_limits_of_service> limited_;
    /// Until then all tokens are promised to callers that were refused, by service.
    std::map<std::string, time_point> promised_until_;
    std::map<std::pair<std::string, std::string>, time_point> malformed_logged_at_;
    std::uint64_t malformed_ = 0;
    time_point dropped_logged_at_ = time_point(duration::min() / 2);
    bool leaving_ = false;
};

} // namespace catkintally::core
