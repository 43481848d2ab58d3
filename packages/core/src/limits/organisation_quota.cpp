#include <catkintally/core/limits/organisation_quota.hpp>

#include <algorithm>
#include <cassert>
#include <cmath>
#include <utility>

namespace catkintally::core
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Shares are computed anew after this time, and this long after a report at the latest.
constexpr duration share_lifetime = seconds(1);
constexpr duration report_delay = milliseconds(20);

/// Largest part of a token, less than a whole one.
constexpr double largest_fraction = 0.99;

/// The first request of an organisation that has callers elsewhere may be a caller's second
/// attempt after a refusal there. Demand is reported from the second one within this time.
constexpr duration stray_time = seconds(10);

/// Part of its tokens with which a first share starts, if the organisation has not used its quota
/// in the last window or the whole fleet started within it. Not all, since instances that do not
/// know all others yet compute too large shares. Empty first shares refused a sixth of the requests
/// in the first seconds of a day, and half of them after all instances had been killed. A whole
/// fleet that starts twice in a window spends less of the bound on them than is left beside the
/// shares.
constexpr double first_tokens = 0.5;

/// Instances that start together do so within this time.
constexpr duration start_spread = milliseconds(500);

/// Time after the first demand in which a first share counts as such.
constexpr duration rested_time = seconds(2);

/// Below this rate an instance has no callers of the organisation any more: no request for five
/// time constants or so.
constexpr double ended_demand = 0.0005;
constexpr duration clean_up_interval = seconds(5);

/// Reports of instances that are silent for this long may have expired elsewhere, as may those of
/// this one there.
constexpr duration given_up_age =
    organisation_quota::retention_time - organisation_quota::renewal_interval - seconds(10);

/// An instance notices after this time, at the latest, that it is isolated. What its share has
/// grown by meanwhile is taken back: in a surge that began with the isolation of a quarter of 13
/// instances, that quarter held 0.56 of the quota instead of 0.28.
constexpr duration contact_lag = seconds(2);

/// Time after which the reports of the others are known when contact has been regained.
constexpr duration resync_time = milliseconds(750);

/// Bounds of Retry-After.
constexpr duration min_retry_after = milliseconds(50);
constexpr duration max_retry_after = seconds(10);

demand_exchange_options exchange_options(const organisation_quota_options& options)
{
    demand_exchange_options made;
    made.timers = options.timers;
    made.self = options.self;
    made.incarnation = options.incarnation;
    made.send = options.send_demand;
    // Lent tokens make up for wrong shares, so that only large changes are worth a report to all.
    made.policy = {
        .averaging_time = seconds(60),
        .renewal_interval = organisation_quota::renewal_interval,
        .settle_time = milliseconds(250),
        .factor = 2,
        .tolerance = 0.25,
        .noise = 0.3,
        .renews_together = true,
        .resumes = true};
    made.retention = organisation_quota::retention_time;
    made.batch_interval = milliseconds(20);
    made.hash = organisation_quota::organisation_hash;
    return made;
}

} // namespace

organisation_quota::organisation_quota(organisation_quota_options options)
    : options_(std::move(options))
    , random_(options_.seed)
    , demand_(exchange_options(options_))
    , lending_(lending_options())
{
    assert(options_.timers != nullptr);
    created_at_ = options_.timers->now();
}

organisation_quota::~organisation_quota()
{
    options_.timers->cancel(clean_up_timer_);
}

void organisation_quota::apply(const table_snapshot& table)
{
    const auto now = options_.timers->now();
    std::map<std::string, quota> former = std::exchange(quotas_, {});
    names_.clear();
    for (const organisation_row& row :
         table.organisations.value_or(std::vector<organisation_row>()))
    {
        if (row.requests_per_s <= 0)
        {
            continue;
        }
        const auto hash = static_cast<std::uint32_t>(organisation_hash(row.name));
        const auto found = former.find(row.name);
        quota kept = found != former.end() ? std::move(found->second)
                                           : quota{.bucket = token_bucket(0, now)};
        const bool changed =
            kept.row.requests_per_s != row.requests_per_s || kept.row.burst != row.burst;
        kept.row = row;
        kept.inputs = {
            .name = hash, .per_second = row.requests_per_s, .saved = options_.window.saved(row)};
        if (changed)
        {
            kept.computed_at = {};
            kept.outdated = true;
        }
        quota& applied = quotas_.insert_or_assign(row.name, std::move(kept)).first->second;
        names_.insert_or_assign(hash, row.name);
        if (changed)
        {
            update_share(applied);
        }
    }
    demand_.retain([this](const std::string& name) { return quotas_.contains(name); });
    if (!quotas_.empty() && clean_up_timer_ == 0)
    {
        clean_up_timer_ =
            options_.timers->schedule_after(clean_up_interval, [this] { clean_up(); });
    }
}

organisation_quota::quota* organisation_quota::find(const std::string& organisation)
{
    const auto found = quotas_.find(organisation);
    return found == quotas_.end() ? nullptr : &found->second;
}

organisation_quota::quota* organisation_quota::find(std::uint32_t hash)
{
    const auto found = names_.find(hash);
    return found == names_.end() ? nullptr : find(found->second);
}

bool organisation_quota::in_contact()
{
    const auto now = options_.timers->now();
    const bool has_contact = !options_.in_contact || options_.in_contact();
    if (has_contact && !has_contact_)
    {
        contact_since_ = now;
    }
    has_contact_ = has_contact;
    return has_contact && (contact_since_ == time_point{} || now - contact_since_ >= resync_time);
}

bool organisation_quota::is_given_up()
{
    const auto now = options_.timers->now();
    if (now - given_up_checked_at_ >= share_lifetime)
    {
        given_up_checked_at_ = now;
        given_up_ =
            !in_contact() && (given_up_ || 2 * demand_.instances_newer_than(given_up_age) <
                                               demand_.instances_newer_than(retention_time));
    }
    return given_up_;
}

limit_share organisation_quota::compute_share(const quota& self)
{
    if (leaving_ || is_given_up())
    {
        return {};
    }
    const auto demand = demand_.settled_demand(self.row.name);
    if (!demand || !demand_.is_reporting(self.row.name))
    {
        return {};
    }
    const limit_share computed = divide_quota(self.inputs, *demand, demand_.demands(self.row.name));
    // The demand of an earlier run of this instance is reserved by all others.
    if (in_contact() || (self.contact_share.holders == 0 && demand_.has_former(self.row.name)))
    {
        return computed;
    }
    return {
        .per_second = std::min(computed.per_second, self.contact_share.per_second),
        .burst = std::min(computed.burst, self.contact_share.burst),
        .holders = computed.holders};
}

void organisation_quota::update_share(quota& self)
{
    const auto now = options_.timers->now();
    const duration age = now - self.computed_at;
    const bool settling = self.outdated || self.share.holders == 0;
    if (self.computed_at != time_point{} && age < (settling ? report_delay : share_lifetime))
    {
        return;
    }
    const auto& demands = demand_.demands(self.row.name);
    if (!demands.empty())
    {
        note_demand(self);
    }
    if (!std::exchange(self.started, true))
    {
        // Others with callers of the organisation hold all tokens that may be saved up. No demand
        // at all is known after the whole fleet was started; one request need not wait then.
        self.bucket = token_bucket(demands.empty() ? 1 : 0, now);
    }
    self.computed_at = now;
    self.share = compute_share(self);
    if (in_contact() && now - self.contact_share_at >= contact_lag)
    {
        self.contact_share_at = now;
        self.contact_share = std::exchange(self.next_contact_share, self.share);
    }
    if (std::exchange(self.outdated, false) || self.holders.empty())
    {
        self.holders = quota_holders(self.inputs, demands);
    }
    const double least = demands.empty() ? 1 : largest_fraction;
    self.bucket.configure(self.share.per_second, std::max(self.share.burst, least), now);
    if (self.share.burst > 0 && !std::exchange(self.had_share, true))
    {
        const bool rested = self.rested && now - self.first_demand_at < rested_time;
        self.bucket.deposit(
            rested || has_fleet_started() ? first_tokens * self.share.burst : 0, now);
    }
}

bool organisation_quota::has_fleet_started() const
{
    const duration uptime = options_.timers->now() - created_at_;
    return uptime < options_.window.length && demand_.instances_newer_than(uptime + start_spread) ==
                                                  demand_.instances_newer_than(retention_time);
}

void organisation_quota::note_demand(quota& self)
{
    if (self.first_demand_at == time_point{})
    {
        const auto now = options_.timers->now();
        self.first_demand_at = now;
        self.rested = in_contact() && now - created_at_ >= options_.window.length;
    }
}

void organisation_quota::record(quota& self)
{
    const auto now = options_.timers->now();
    note_demand(self);
    demand_.record_request(self.row.name);
    if (!demand_.is_reporting(self.row.name))
    {
        self.unreported = now - self.last_request_at < stray_time ? self.unreported + 1 : 1;
        if (self.unreported >= 2 || demand_.demands(self.row.name).empty())
        {
            demand_.start_reporting(self.row.name);
        }
    }
    self.last_request_at = now;
}

quota_decision organisation_quota::decide(quota& self, duration longest_wait)
{
    const auto now = options_.timers->now();
    update_share(self);
    const duration wait = self.bucket.time_until(1, now);
    if (wait > longest_wait)
    {
        ++self.refused;
        ++refused_;
        return {.admitted = false, .retry_after = retry_after(self)};
    }
    self.bucket.take(now);
    ++self.admitted;
    return {.admitted = true, .wait = wait};
}

quota_decision organisation_quota::take(const std::string& organisation, duration longest_wait)
{
    quota* found = find(organisation);
    if (found == nullptr)
    {
        return {};
    }
    record(*found);
    return decide(*found, longest_wait);
}

void organisation_quota::refund(const std::string& organisation)
{
    if (quota* found = find(organisation))
    {
        found->bucket.refund(options_.timers->now());
    }
}

duration organisation_quota::retry_after(quota& self)
{
    // Callers return to any instance, so the first one is told when the fleet has its next token.
    // Those that are refused here one after the other are spaced by the own share, as all instances
    // together then promise no more than the rate.
    const auto now = options_.timers->now();
    const auto interval = [](double rate)
    {
        const std::chrono::duration<double> longest = max_retry_after;
        return std::chrono::ceil<duration>(
            rate > 0 ? std::min(longest, std::chrono::duration<double>(1 / rate)) : longest);
    };
    const duration own = interval(self.share.per_second);
    const duration first = interval(self.row.requests_per_s);
    const time_point slot =
        self.promised_until <= now ? now + std::min(first, own) : self.promised_until + own;
    self.promised_until = std::min(slot, now + max_retry_after);
    // Half of the last step is random, so that callers that are refused by many instances at the
    // same moment do not return together.
    const double part = static_cast<double>(random_.next() >> 11U) * 0x1.0p-53;
    const auto jitter = std::chrono::duration_cast<duration>(first * part);
    return std::clamp(self.promised_until - now + jitter, min_retry_after, max_retry_after);
}

void organisation_quota::merge_demand(
    const std::vector<demand_report>& reports, const std::string& neighbour)
{
    demand_.merge(
        reports,
        [&](const demand_report& report)
        {
            lending_.note_route(report.instance, neighbour);
            if (quota* found = find(static_cast<std::uint32_t>(report.service)))
            {
                found->outdated = true;
                note_demand(*found);
            }
        });
}

void organisation_quota::leave()
{
    leaving_ = true;
    for (auto& [name, each] : quotas_)
    {
        each.computed_at = {};
    }
    demand_.leave();
}

void organisation_quota::clean_up()
{
    clean_up_timer_ = 0;
    // A loss of contact is noted also while there are no requests.
    static_cast<void>(is_given_up());
    for (auto& [name, each] : quotas_)
    {
        if (demand_.is_reporting(name) && demand_.measured(name) < ended_demand)
        {
            demand_.withdraw(name);
            each.outdated = true;
            each.unreported = 0;
        }
    }
    if (!quotas_.empty())
    {
        clean_up_timer_ =
            options_.timers->schedule_after(clean_up_interval, [this] { clean_up(); });
    }
}

std::vector<organisation_quota_dump> organisation_quota::dump()
{
    std::vector<organisation_quota_dump> dumped;
    const auto now = options_.timers->now();
    for (auto& [name, each] : quotas_)
    {
        update_share(each);
        double reported = 0;
        for (const instance_demand& demand : demand_.demands(name))
        {
            reported += demand.per_second;
        }
        dumped.push_back(
            {.organisation = name,
             .per_second = each.row.requests_per_s,
             .burst = each.row.burst,
             .share = each.share,
             .tokens = each.bucket.tokens(now),
             .demand = demand_.measured(name),
             .reported_demand = reported,
             .admitted = each.admitted,
             .refused = each.refused});
    }
    return dumped;
}

} // namespace catkintally::core
