#include <catkintally/core/limits/target_limit_registry.hpp>

#include <limits>
#include <utility>

namespace catkintally::core
{

namespace
{

/// How long the limit of a target without a row is kept. The row follows within seconds.
constexpr duration unlisted_retention = std::chrono::seconds(30);

/// Responses without a limit, one after the other, that withdraw it.
constexpr std::uint32_t absent_to_withdraw = 2;

constexpr double no_limit = std::numeric_limits<double>::infinity();

double rate_or_infinity(const std::optional<double>& per_second)
{
    return per_second.value_or(no_limit);
}

bool replaces(const target_limit& received, const target_limit& known)
{
    return received.version != known.version
               ? received.version > known.version
               : rate_or_infinity(received.per_second) < rate_or_infinity(known.per_second);
}

} // namespace

bool target_limit_registry::observe(
    const std::string& service,
    const target_row& target,
    const observed_statement& observed,
    time_point now)
{
    const bool named = observed.statement.kind == limit_statement_kind::named;
    const bool withdrawn =
        observed.statement.kind == limit_statement_kind::absent && observed.executed;
    if (!named && (!withdrawn || limits_.empty()))
    {
        return false;
    }
    const key name(service, target.name, target.incarnation);
    const auto found = limits_.find(name);
    if (found == limits_.end() && !named)
    {
        return false;
    }
    std::uint64_t version = 1;
    if (found != limits_.end())
    {
        const double stated =
            rate_or_infinity(named ? std::optional(observed.statement.per_second) : std::nullopt);
        const double current = rate_or_infinity(found->second.limit.per_second);
        const bool may_be_older = observed.sent_at < found->second.since;
        if (named)
        {
            found->second.absent_in_a_row = 0;
        }
        if (stated == current || (may_be_older && stated > current))
        {
            return false;
        }
        if (!named && ++found->second.absent_in_a_row < absent_to_withdraw)
        {
            return false;
        }
        version = found->second.limit.version + 1;
    }
    known_limit& replaced = limits_[name];
    replaced.limit = {
        .service = service,
        .target = target.name,
        .incarnation = target.incarnation,
        .version = version,
        .source = self_};
    if (named)
    {
        replaced.limit.per_second = observed.statement.per_second;
    }
    replaced.since = now;
    replaced.absent_in_a_row = 0;
    return true;
}

bool target_limit_registry::merge(const target_limit& received, time_point now)
{
    const key name(received.service, received.target, received.incarnation);
    const auto found = limits_.find(name);
    if (is_full_for(received) ||
        (found != limits_.end() && !replaces(received, found->second.limit)))
    {
        return false;
    }
    limits_.insert_or_assign(name, known_limit{.limit = received, .since = now});
    return true;
}

bool target_limit_registry::is_full_for(const target_limit& received) const
{
    return limits_.size() >= max_limits &&
           !limits_.contains(key(received.service, received.target, received.incarnation));
}

const known_limit*
target_limit_registry::find(const std::string& service, const target_row& target) const
{
    if (limits_.empty())
    {
        return nullptr;
    }
    const auto found = limits_.find(key(service, target.name, target.incarnation));
    return found == limits_.end() ? nullptr : &found->second;
}

std::vector<target_limit> target_limit_registry::all() const
{
    std::vector<target_limit> limits;
    limits.reserve(limits_.size());
    for (const auto& [name, known] : limits_)
    {
        limits.push_back(known.limit);
    }
    return limits;
}

void target_limit_registry::retain(const table_snapshot& table, time_point now)
{
    std::erase_if(
        limits_,
        [&](const auto& each)
        {
            const target_limit& limit = each.second.limit;
            const target_row* row = find_target(table, limit.service, limit.target);
            const bool listed = row != nullptr && row->incarnation == limit.incarnation;
            return !listed && now - each.second.since > unlisted_retention;
        });
}

} // namespace catkintally::core
