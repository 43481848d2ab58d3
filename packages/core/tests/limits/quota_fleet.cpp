#include "quota_fleet.hpp"

#include <algorithm>
#include <cmath>
#include <deque>
#include <utility>

namespace catkintally::core
{

namespace
{

using std::chrono::milliseconds;

constexpr std::size_t all_organisations = 80;
constexpr double size_exponent = -1.2;
constexpr quota_window window{.length = std::chrono::seconds(5), .overshoot = 0.1, .tolerance = 20};

/// Deliveries of one message; each instance belongs to one of them.
constexpr std::size_t delivery_groups = 8;

/// Time after which an instance notices that it is isolated.
constexpr duration contact_time = milliseconds(1500);

} // namespace

quota_fleet::quota_fleet(quota_fleet_options options)
    : options_(std::move(options))
    , random_(options_.seed)
{
    timers.advance(std::chrono::seconds(1));
    if (options_.ranks.empty())
    {
        for (std::size_t rank = 1; rank <= all_organisations; ++rank)
        {
            options_.ranks.push_back(rank);
        }
    }
    double total = 0;
    for (std::size_t rank = 1; rank <= all_organisations; ++rank)
    {
        total += std::pow(static_cast<double>(rank), size_exponent);
    }
    const auto size = static_cast<double>(options_.instances);
    const double callers = options_.callers_per_instance * size / all_organisations;
    table_.organisations.emplace();
    for (const std::size_t rank : options_.ranks)
    {
        played_organisation added;
        added.usual_rate = options_.requests_per_s_per_instance * size *
                           std::pow(static_cast<double>(rank), size_exponent) / total;
        added.row.name = "organisation" + std::to_string(rank);
        added.row.requests_per_s = options_.quota_factor * added.usual_rate;
        added.row.burst = added.row.requests_per_s;
        for (double caller = 0; caller < std::max(1.0, std::round(callers)); ++caller)
        {
            added.callers.push_back(random_.next() % options_.instances);
        }
        table_.organisations->push_back(added.row);
        organisations_.push_back(std::move(added));
    }
    for (std::size_t number = 0; number < options_.instances; ++number)
    {
        auto added = std::make_unique<played_instance>();
        added->number = number;
        added->name = "i" + std::to_string(number);
        numbers_[added->name] = number;
        instances_.push_back(std::move(added));
    }
    link();
    for (const auto& each : instances_)
    {
        start(*each);
    }
}

void quota_fleet::link()
{
    const std::size_t size = instances_.size();
    std::vector<std::set<std::size_t>> links(size);
    for (std::size_t number = 0; number < size; ++number)
    {
        for (std::size_t dialed = 0; dialed < 3 && size > 1; ++dialed)
        {
            const std::size_t other = other_instance(number);
            links[number].insert(other);
            links[other].insert(number);
        }
    }
    for (std::size_t number = 0; number < size; ++number)
    {
        for (const std::size_t other : links[number])
        {
            instances_[number]->neighbours.push_back(instances_[other]->name);
        }
    }
    ways_.assign(size, std::vector<std::uint16_t>(size, 0));
    for (std::size_t origin = 0; origin < size; ++origin)
    {
        std::vector<bool> seen(size);
        std::deque<std::size_t> open = {origin};
        seen[origin] = true;
        while (!open.empty())
        {
            const std::size_t at = open.front();
            open.pop_front();
            for (const std::size_t next : links[at])
            {
                if (!seen[next])
                {
                    seen[next] = true;
                    ways_[origin][next] = static_cast<std::uint16_t>(at);
                    open.push_back(next);
                }
            }
        }
    }
}

double quota_fleet::uniform()
{
    return (static_cast<double>(random_.next() >> 11U) + 1) * 0x1.0p-53;
}

std::size_t quota_fleet::other_instance(std::size_t instance)
{
    const std::size_t size = instances_.size();
    return size == 1 ? 0 : (instance + 1 + random_.next() % (size - 1)) % size;
}

bool quota_fleet::is_isolated(std::size_t instance) const
{
    return isolated_ && instance % options_.failure_domains == *isolated_;
}

bool quota_fleet::is_cut(std::size_t a, std::size_t b) const
{
    return is_isolated(a) != is_isolated(b);
}

void quota_fleet::start(played_instance& self)
{
    ++self.incarnation;
    organisation_quota_options made{
        .timers = &timers,
        .self = self.name,
        .incarnation = self.incarnation,
        .seed = random_.next(),
        .window = window,
        .in_contact =
            [this, &self]
        {
            const bool isolated =
                is_isolated(self.number) && timers.now() - isolated_at_ >= contact_time;
            return store_reachable_ && !isolated;
        },
        .send_demand = [this, &self](const std::vector<demand_report>& sent)
        { send_reports(self, sent); }};
    if (options_.lends)
    {
        made.neighbours = [&self] { return self.neighbours; };
        made.send_tokens = [this, &self](const std::string& to, const token_message& message)
        { send_tokens(self, to, message); };
    }
    self.quota = std::make_unique<organisation_quota>(std::move(made));
    for (const std::string& name : self.neighbours)
    {
        const played_instance& neighbour = *instances_[numbers_.at(name)];
        if (neighbour.quota && !is_cut(self.number, neighbour.number) && started_)
        {
            self.quota->merge_demand(neighbour.quota->demand_reports(), name);
            break;
        }
    }
    self.quota->apply(table_);
}

void quota_fleet::send_reports(const played_instance& from, const std::vector<demand_report>& sent)
{
    // Every instance is reached from here, so that only own reports have to be sent.
    auto own = std::make_shared<std::vector<demand_report>>();
    std::copy_if(
        sent.begin(), sent.end(), std::back_inserter(*own),
        [&](const demand_report& each) { return each.instance == name_hash(from.name); });
    if (own->empty())
    {
        return;
    }
    reports += own->size();
    ++report_messages;
    std::vector<std::vector<std::size_t>> groups(delivery_groups);
    for (const auto& each : instances_)
    {
        if (each->number != from.number && !is_cut(from.number, each->number) &&
            uniform() > options_.loss)
        {
            groups[random_.next() % delivery_groups].push_back(each->number);
        }
    }
    for (auto& group : groups)
    {
        const auto delay = options_.min_news_delay +
                           std::chrono::duration_cast<duration>(
                               (options_.max_news_delay - options_.min_news_delay) * uniform());
        timers.schedule_after(
            delay,
            [this, own, origin = from.number, receivers = std::move(group)]
            {
                for (const std::size_t number : receivers)
                {
                    deliver_reports(origin, number, own);
                }
            });
    }
}

void quota_fleet::deliver_reports(
    std::size_t origin,
    std::size_t number,
    const std::shared_ptr<const std::vector<demand_report>>& own)
{
    played_instance& receiver = *instances_[number];
    if (timers.now() < receiver.frozen_until)
    {
        // The message waits in the socket.
        timers.schedule_after(
            receiver.frozen_until - timers.now() +
                std::chrono::duration_cast<duration>(options_.max_hop_delay * uniform()),
            [this, origin, number, own] { deliver_reports(origin, number, own); });
    }
    else if (receiver.quota)
    {
        receiver.quota->merge_demand(*own, instances_[ways_[origin][number]]->name);
    }
}

void quota_fleet::send_tokens(
    const played_instance& from, const std::string& to, const token_message& message)
{
    ++token_messages;
    const std::size_t number = numbers_.at(to);
    if (is_cut(from.number, number) || uniform() <= options_.loss)
    {
        return;
    }
    timers.schedule_after(
        milliseconds(1) + std::chrono::duration_cast<duration>(options_.max_hop_delay * uniform()),
        [this, number, message, name = from.name]
        {
            played_instance& receiver = *instances_[number];
            if (receiver.quota && timers.now() >= receiver.frozen_until)
            {
                receiver.quota->receive(message, name);
            }
        });
}

void quota_fleet::apply_table()
{
    for (std::size_t index = 0; index < organisations_.size(); ++index)
    {
        (*table_.organisations)[index] = organisations_[index].row;
    }
    for (const auto& each : instances_)
    {
        if (each->quota)
        {
            each->quota->apply(table_);
        }
    }
}

void quota_fleet::set_load(std::size_t organisation, double factor)
{
    organisations_[organisation].load = factor;
    if (started_)
    {
        schedule_request(organisation);
    }
}

void quota_fleet::set_all_loads(double factor)
{
    for (std::size_t index = 0; index < organisations_.size(); ++index)
    {
        set_load(index, factor);
    }
}

void quota_fleet::crowd(std::size_t organisation, std::optional<std::size_t> instance)
{
    organisations_[organisation].crowded = instance;
}

void quota_fleet::burst(std::size_t organisation, std::size_t count)
{
    for (std::size_t sent = 0; sent < count; ++sent)
    {
        send_request(organisation, sent % instances_.size(), true);
    }
}

void quota_fleet::set_quota(std::size_t organisation, double factor)
{
    played_organisation& changed = organisations_[organisation];
    changed.row.requests_per_s = factor * changed.usual_rate;
    changed.row.burst = changed.row.requests_per_s;
    apply_table();
}

void quota_fleet::isolate_domain(std::optional<std::size_t> domain)
{
    const auto former = std::exchange(isolated_, domain);
    isolated_at_ = timers.now();
    if (!former || domain)
    {
        return;
    }
    // The links come up again, and both sides send what they know.
    const auto is_cut_off = [&](const auto& each)
    { return each->quota && each->number % options_.failure_domains == *former; };
    const auto one = std::find_if(instances_.begin(), instances_.end(), is_cut_off);
    const auto other = std::find_if_not(instances_.begin(), instances_.end(), is_cut_off);
    const auto one_side = (*one)->quota->demand_reports();
    const auto other_side = (*other)->quota->demand_reports();
    for (const auto& each : instances_)
    {
        if (each->quota)
        {
            const auto delay =
                std::chrono::duration_cast<duration>(options_.max_news_delay * uniform());
            const bool was_cut_off = is_cut_off(each);
            timers.schedule_after(
                delay,
                [this, number = each->number, news = was_cut_off ? other_side : one_side]
                {
                    played_instance& receiver = *instances_[number];
                    if (receiver.quota)
                    {
                        receiver.quota->merge_demand(news, receiver.neighbours.front());
                    }
                });
        }
    }
}

void quota_fleet::kill(std::size_t instance)
{
    instances_[instance]->quota.reset();
}

void quota_fleet::restart(std::size_t instance)
{
    kill(instance);
    start(*instances_[instance]);
}

void quota_fleet::freeze(std::size_t instance, duration span)
{
    instances_[instance]->frozen_until = timers.now() + span;
}

void quota_fleet::run(duration span)
{
    if (!std::exchange(started_, true))
    {
        for (std::size_t index = 0; index < organisations_.size(); ++index)
        {
            schedule_request(index);
        }
    }
    timers.advance(span);
}

void quota_fleet::schedule_request(std::size_t organisation)
{
    played_organisation& from = organisations_[organisation];
    const std::uint64_t generation = ++from.generation;
    const double rate = from.usual_rate * from.load;
    if (rate <= 0)
    {
        return;
    }
    const std::chrono::duration<double> pause(-std::log(uniform()) / rate);
    timers.schedule_after(
        std::chrono::ceil<duration>(pause),
        [this, organisation, generation]
        {
            played_organisation& sender = organisations_[organisation];
            if (sender.generation == generation)
            {
                const std::size_t caller = random_.next() % sender.callers.size();
                send_request(organisation, sender.crowded.value_or(sender.callers[caller]), true);
                schedule_request(organisation);
            }
        });
}

void quota_fleet::send_request(std::size_t organisation, std::size_t instance, bool first)
{
    played_instance& self = *instances_[instance];
    if (!self.quota)
    {
        // The connection fails, and the caller turns to another instance.
        timers.schedule_after(
            milliseconds(10), [this, organisation, first, next = other_instance(instance)]
            { send_request(organisation, next, first); });
        return;
    }
    if (timers.now() < self.frozen_until)
    {
        timers.schedule_after(
            self.frozen_until - timers.now(),
            [this, organisation, instance, first] { send_request(organisation, instance, first); });
        return;
    }
    played_organisation& from = organisations_[organisation];
    if (first)
    {
        from.arrived.push_back(timers.now());
    }
    self.quota->request(
        from.row.name, options_.longest_wait,
        [this, organisation, instance, first](const quota_decision& decision)
        {
            played_organisation& sender = organisations_[organisation];
            if (decision.admitted)
            {
                sender.executed.push_back(timers.now() + decision.wait);
                return;
            }
            (first ? sender.refused_first : sender.refused_second).push_back(timers.now());
            if (first)
            {
                timers.schedule_after(
                    decision.retry_after, [this, organisation, next = other_instance(instance)]
                    { send_request(organisation, next, false); });
            }
        });
}

std::size_t quota_fleet::count(const std::vector<time_point>& times, time_point from)
{
    return static_cast<std::size_t>(
        std::count_if(times.begin(), times.end(), [from](time_point at) { return at >= from; }));
}

double quota_fleet::largest_part(time_point from) const
{
    double largest = 0;
    for (const played_organisation& each : organisations_)
    {
        std::vector<time_point> times = each.executed;
        std::sort(times.begin(), times.end());
        auto end = times.begin();
        for (auto begin = times.begin(); begin != times.end(); ++begin)
        {
            while (end != times.end() && *end <= *begin + window.length)
            {
                ++end;
            }
            if (*begin >= from)
            {
                largest =
                    std::max(largest, static_cast<double>(end - begin) / window.bound(each.row));
            }
        }
    }
    return largest;
}

double quota_fleet::refused_at_first(time_point from) const
{
    double arrived = 0;
    double refused = 0;
    for (const played_organisation& each : organisations_)
    {
        arrived += static_cast<double>(count(each.arrived, from));
        refused += static_cast<double>(count(each.refused_first, from));
    }
    return refused / arrived;
}

double quota_fleet::refused_in_the_end(time_point from) const
{
    double arrived = 0;
    double refused = 0;
    for (const played_organisation& each : organisations_)
    {
        arrived += static_cast<double>(count(each.arrived, from));
        refused += static_cast<double>(count(each.refused_second, from));
    }
    return refused / arrived;
}

double quota_fleet::refused_of(std::size_t organisation, time_point from) const
{
    const played_organisation& one = organisations_[organisation];
    return static_cast<double>(count(one.refused_first, from)) /
           static_cast<double>(std::max<std::size_t>(count(one.arrived, from), 1));
}

double quota_fleet::used(std::size_t organisation, time_point from) const
{
    const played_organisation& one = organisations_[organisation];
    const std::chrono::duration<double> span = timers.now() - from;
    return static_cast<double>(count(one.executed, from)) / span.count() / one.row.requests_per_s;
}

} // namespace catkintally::core
