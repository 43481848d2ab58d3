#include <catkintally/core/admission/target_set.hpp>
#include <catkintally/core/limits/target_rate_limiter.hpp>

#include <algorithm>
#include <cassert>
#include <utility>

namespace catkintally::core
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A limit below this one is treated as this one, so that a few requests still show when the target
/// raises or withdraws it. One request in ten seconds is far within the tolerance of any limit.
constexpr double min_limit = 0.1;

/// Shares are computed anew after this time, or when a limit changes.
constexpr duration share_lifetime = seconds(1);

/// Estimated number of instances for each one that is certain to exist. The standard error of the
/// estimate is 6 %.
constexpr double estimate_tolerance = 1.1;

/// Largest part of a token, less than a whole one.
constexpr double largest_fraction = 0.99;

/// Bounds of Retry-After.
constexpr duration min_retry_after = milliseconds(200);
constexpr duration max_retry_after = seconds(10);

} // namespace

target_rate_limiter::target_rate_limiter(target_rate_limiter_options options)
    : options_(std::move(options))
    , limits_(options_.self)
    , demand_(
          {.timers = options_.timers,
           .self = options_.self,
           .incarnation = options_.incarnation,
           .failure_domain = options_.failure_domain,
           .send = options_.send_demand})
{
}

void target_rate_limiter::apply(std::shared_ptr<const table_snapshot> table)
{
    table_ = std::move(table);
    limits_.retain(*table_, options_.timers->now());
    rebuild();
    demand_.retain(*table_);
    std::erase_if(
        promised_until_,
        [this](const auto& each) { return !table_->services.contains(each.first); });
    std::erase_if(
        malformed_logged_at_, [this](const auto& each)
        { return find_target(*table_, each.first.first, each.first.second) == nullptr; });
}

void target_rate_limiter::rebuild()
{
    for (const auto& [service, target] : limited_names())
    {
        if (find_target(*table_, service, target) == nullptr)
        {
            remove_limited(service, target);
        }
    }
    if (limits_.size() == 0)
    {
        return;
    }
    for (const auto& [name, config] : table_->services)
    {
        for (const target_row& target : config.targets)
        {
            update_limited(name, target);
        }
    }
}

std::vector<std::pair<std::string, std::string>> target_rate_limiter::limited_names() const
{
    std::vector<std::pair<std::string, std::string>> names;
    for (const auto& [service, targets] : limited_)
    {
        for (const auto& [target, each] : targets)
        {
            names.emplace_back(service, target);
        }
    }
    return names;
}

void target_rate_limiter::update_limited(const std::string& service, const target_row& target)
{
    const known_limit* known = limits_.find(service, target);
    enforced_limit* current = find(service, target);
    std::optional<double> previous;
    if (current != nullptr && current->incarnation == target.incarnation)
    {
        previous = current->known.limit.per_second;
    }
    if (known == nullptr || !known->limit.per_second)
    {
        remove_limited(service, target.name);
    }
    else
    {
        if (!previous)
        {
            current = &add_limited(service, target);
        }
        const bool changed = current->known.limit.version != known->limit.version;
        current->known = *known;
        current->inputs.per_second = std::max(*known->limit.per_second, min_limit);
        current->takes_work = takes_new_work(target, *table_);
        if (changed)
        {
            current->share_computed_at = {};
            update_share(*current);
        }
        demand_.start_reporting(service);
    }
    if (known != nullptr && known->limit.per_second != previous && options_.on_changed)
    {
        options_.on_changed(known->limit, previous);
    }
}

target_rate_limiter::enforced_limit&
target_rate_limiter::add_limited(const std::string& service, const target_row& target)
{
    // Instances learn of a limit at the same moment. Their buckets start at different levels, so
    // that they do not send their first requests together.
    const std::uint64_t bits = split_mix(name_hash(options_.self + '/' + target.name)).next();
    const double tokens = static_cast<double>(bits >> 11U) * 0x1.0p-53;
    enforced_limit added{
        .service = service,
        .incarnation = target.incarnation,
        .known = {},
        .inputs =
            {.name = name_hash(target.name), .failure_domain = name_hash(target.failure_domain)},
        .share = {},
        .bucket = token_bucket(tokens, options_.timers->now())};
    return limited_[service].insert_or_assign(target.name, std::move(added)).first->second;
}

void target_rate_limiter::remove_limited(const std::string& service, const std::string& target)
{
    const auto targets = limited_.find(service);
    if (targets != limited_.end())
    {
        targets->second.erase(target);
        if (targets->second.empty())
        {
            limited_.erase(targets);
            demand_.stop_reporting(service);
        }
    }
}

target_rate_limiter::enforced_limit*
target_rate_limiter::find(const std::string& service, const target_row& target)
{
    const auto targets = limited_.find(service);
    if (targets == limited_.end())
    {
        return nullptr;
    }
    const auto found = targets->second.find(target.name);
    return found == targets->second.end() ? nullptr : &found->second;
}

std::size_t target_rate_limiter::instances() const
{
    return options_.instances ? options_.instances() : 1;
}

limit_share target_rate_limiter::compute_share(const enforced_limit& target)
{
    if (leaving_)
    {
        return {};
    }
    const auto& demands = demand_.demands(target.service);
    const auto self = demand_.settled_demand(target.service);
    if (!self)
    {
        // The demands are not known yet: an equal part for each instance.
        const std::size_t count = std::max({instances(), demands.size(), std::size_t{1}});
        return {
            .per_second = target.inputs.per_second / static_cast<double>(count),
            .burst = 1,
            .holders = count};
    }
    const auto certain =
        static_cast<std::size_t>(static_cast<double>(instances()) / estimate_tolerance);
    const std::size_t known = std::max<std::size_t>(demands.size(), 1);
    return divide_limit(target.inputs, *self, demands, certain > known ? certain - known : 0);
}

void target_rate_limiter::update_share(enforced_limit& target)
{
    const auto now = options_.timers->now();
    const bool computed = target.share_computed_at != time_point{};
    if (computed && now - target.share_computed_at < share_lifetime)
    {
        return;
    }
    target.share_computed_at = now;
    target.share = compute_share(target);
    // Without a share the fraction of a token is kept for the time when there is one again.
    target.bucket.configure(
        target.share.per_second, std::max(target.share.burst, largest_fraction), now);
}

bool target_rate_limiter::has_limits(const std::string& service) const
{
    return limited_.contains(service);
}

bool target_rate_limiter::may_send(const std::string& service, const target_row& target)
{
    enforced_limit* found = find(service, target);
    if (found == nullptr)
    {
        return true;
    }
    update_share(*found);
    return found->bucket.has_token(options_.timers->now());
}

void target_rate_limiter::take(const std::string& service, const target_row& target)
{
    if (enforced_limit* found = find(service, target))
    {
        found->bucket.take(options_.timers->now());
    }
}

void target_rate_limiter::refund(const std::string& service, const target_row& target)
{
    if (enforced_limit* found = find(service, target))
    {
        found->bucket.refund(options_.timers->now());
    }
}

std::optional<duration> target_rate_limiter::time_to_token(const std::string& service)
{
    std::optional<duration> first;
    const auto targets = limited_.find(service);
    if (targets == limited_.end())
    {
        return first;
    }
    const auto now = options_.timers->now();
    for (auto& [name, each] : targets->second)
    {
        update_share(each);
        const duration wait = each.bucket.time_until(1, now);
        if (each.takes_work && wait != duration::max())
        {
            first = std::min(first.value_or(wait), wait);
        }
    }
    return first;
}

std::size_t target_rate_limiter::tokens_within(const std::string& service, duration span)
{
    std::size_t tokens = 0;
    const auto targets = limited_.find(service);
    if (targets == limited_.end())
    {
        return tokens;
    }
    const auto now = options_.timers->now();
    for (auto& [name, each] : targets->second)
    {
        update_share(each);
        if (each.takes_work && each.bucket.time_until(1, now) <= span)
        {
            ++tokens;
        }
    }
    return tokens;
}

duration target_rate_limiter::retry_after(const std::string& service)
{
    const auto targets = limited_.find(service);
    if (targets == limited_.end())
    {
        return min_retry_after;
    }
    double own_rate = 0;
    double fleet_rate = 0;
    for (auto& [name, each] : targets->second)
    {
        if (each.takes_work)
        {
            update_share(each);
            own_rate += each.share.per_second;
            fleet_rate += each.inputs.per_second;
        }
    }
    // A caller that returns may reach any instance.
    const double rate =
        std::max(own_rate, fleet_rate / static_cast<double>(std::max<std::size_t>(instances(), 1)));
    const std::chrono::duration<double> longest = max_retry_after;
    const std::chrono::duration<double> interval(rate > 0 ? 1 / rate : longest.count());
    const auto now = options_.timers->now();
    time_point& promised_until = promised_until_[service];
    const time_point slot =
        std::max(promised_until, now) + std::chrono::ceil<duration>(std::min(interval, longest));
    promised_until = std::min(slot, now + max_retry_after);
    return std::clamp(slot - now, min_retry_after, max_retry_after);
}

void target_rate_limiter::observe(
    const std::string& service, const target_row& target, const observed_statement& observed)
{
    const auto now = options_.timers->now();
    if (observed.statement.kind == limit_statement_kind::malformed)
    {
        ++malformed_;
        auto& logged_at = malformed_logged_at_
                              .try_emplace({service, target.name}, time_point(duration::min() / 2))
                              .first->second;
        if (options_.on_malformed && now - logged_at >= log_interval)
        {
            logged_at = now;
            options_.on_malformed(service, target.name, observed.statement.text);
        }
        return;
    }
    if (!limits_.observe(service, target, observed, now))
    {
        return;
    }
    update_limited(service, target);
    if (options_.announce_limit)
    {
        options_.announce_limit(limits_.find(service, target)->limit);
    }
}

bool target_rate_limiter::merge_limit(const target_limit& received)
{
    const auto now = options_.timers->now();
    if (limits_.is_full_for(received))
    {
        if (options_.on_dropped && now - dropped_logged_at_ >= log_interval)
        {
            dropped_logged_at_ = now;
            options_.on_dropped(received);
        }
        return false;
    }
    if (!limits_.merge(received, now))
    {
        return false;
    }
    if (const target_row* target = find_target(*table_, received.service, received.target))
    {
        update_limited(received.service, *target);
    }
    return true;
}

void target_rate_limiter::leave()
{
    leaving_ = true;
    for (auto& [service, targets] : limited_)
    {
        for (auto& [name, each] : targets)
        {
            each.share_computed_at = {};
        }
    }
    demand_.leave();
}

std::vector<target_limit_dump> target_rate_limiter::dump(const std::string& service)
{
    std::vector<target_limit_dump> dumped;
    const auto now = options_.timers->now();
    for (auto& [service_name, targets] : limited_)
    {
        if (!service.empty() && service_name != service)
        {
            continue;
        }
        for (auto& [name, each] : targets)
        {
            update_share(each);
            dumped.push_back(
                {.service = service_name,
                 .target = name,
                 .per_second = each.known.limit.per_second.value_or(0),
                 .source = each.known.limit.source,
                 .known_for = now - each.known.since,
                 .share = each.share,
                 .tokens = each.bucket.tokens(now)});
        }
    }
    return dumped;
}

std::size_t target_rate_limiter::limited_targets() const
{
    std::size_t count = 0;
    for (const auto& [service, targets] : limited_)
    {
        count += targets.size();
    }
    return count;
}

} // namespace catkintally::core
