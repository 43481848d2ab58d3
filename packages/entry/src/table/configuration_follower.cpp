#include <catkintally/entry/table/configuration_follower.hpp>
#include <catkintally/entry/table/configuration_log.hpp>
#include <catkintally/platform/objects/operator_objects.hpp>
#include <catkintally/runtime/log/event_log.hpp>

#include <boost/leaf.hpp>

#include <algorithm>
#include <cassert>
#include <functional>
#include <utility>

namespace catkintally::entry
{

namespace leaf = boost::leaf;
using runtime::event_id;
using runtime::log_event;

namespace
{

/// Targets register and leave in bursts, so their changes are collected for this long. A target
/// that leaves still serves for two seconds.
constexpr auto target_pause = std::chrono::milliseconds(300);

enum mirror_index : std::size_t
{
    configuration_mirror,
    target_mirror,
    evacuation_mirror
};

/// Largest entry of a target or an evacuation that is kept whole; those of targets have a few
/// hundred bytes.
constexpr std::size_t max_entry_bytes = 4'096;

/// Returns the decoded object, or notes the error and returns nothing.
template <class Decode>
auto decoded_or_refused(
    const core::store_object& object, Decode decode, refused_objects& refused_objects)
{
    using value = std::decay_t<decltype(*decode(object))>;
    return leaf::try_handle_all(
        [&]() -> leaf::result<std::optional<value>>
        {
            BOOST_LEAF_AUTO(decoded, decode(object));
            refused_objects.accept(object.key);
            return std::optional<value>(std::move(decoded));
        },
        [&](const platform::decode_error& error)
        {
            refused_objects.refuse(object.key, object.position(), error.where, error.expected);
            return std::optional<value>();
        },
        [] { return std::optional<value>(); });
}

} // namespace

configuration_follower::configuration_follower(configuration_follower_options options)
    : options_(std::move(options))
    , back_off_(options_.back_off)
    , registry_(
          {.decode = [this](const core::store_object& object)
           { return decoded_or_refused(object, platform::decode_target, refused_objects_); }})
    , missing_entry_hold_(options_.missing_entries)
{
    assert(options_.store != nullptr && options_.long_watch_store != nullptr);
    assert(options_.timers != nullptr && options_.publish);
    const auto add =
        [this](core::object_store* store, std::string_view prefix, core::duration pause)
    {
        const std::size_t index = mirrors_.size();
        object_mirror_options mirror = mirror_options(store, prefix, index);
        mirror.pause = pause;
        mirrors_.push_back(std::make_unique<object_mirror>(std::move(mirror)));
    };
    add(options_.store, platform::configuration_prefix, core::duration::zero());
    add(options_.store, platform::target_prefix, target_pause);
    add(options_.long_watch_store, platform::evacuation_prefix, core::duration::zero());
    failed_.resize(mirrors_.size());
    answered_.resize(mirrors_.size());
    last_answers_.resize(mirrors_.size());
}

configuration_follower::~configuration_follower()
{
    options_.timers->cancel(retry_timer_);
    options_.timers->cancel(update_timer_);
}

object_mirror_options configuration_follower::mirror_options(
    core::object_store* store, std::string_view prefix, std::size_t index)
{
    return {
        .store = store,
        .timers = options_.timers,
        .prefix = std::string(prefix),
        .changed = [this] { on_changed(); },
        .updated =
            [this](const object_update& update)
        {
            if (options_.updated)
            {
                options_.updated(with_era_reader(update));
            }
        },
        .on_answered = [this, index] { on_store_answered(index); },
        .on_history_lost = [this, index] { on_history_lost(index); },
        .content = index == configuration_mirror ? content_hook() : nullptr,
        .known_era = [this] { return era_ ? std::optional(era_->era) : std::nullopt; },
        .on_new_era = [this, index](std::uint64_t era) { adopt_era(era, options_.self, index); },
        .on_earlier_era = [this](std::uint64_t era) { on_earlier_era(era); },
        .on_unreadable = [this, index](const core::store_list_result& answer)
        { on_unreadable(index, answer); },
        .max_object_bytes = index == configuration_mirror ? 0 : max_entry_bytes,
        .on_call_failure = [this, index] { on_mirror_call_failed(index); }};
}

void configuration_follower::on_unreadable(std::size_t index, const core::store_list_result& answer)
{
    const core::store_position unknown_version{.era = era_ ? era_->era : 0, .version = 0};
    for (const core::unreadable_entry& entry : answer.unreadable)
    {
        refused_objects_.refuse(entry.key, unknown_version, entry.where, entry.expected);
    }
    refused_objects_.refuse_nameless(mirrors_[index]->prefix(), answer.nameless);
}

std::function<std::uint64_t(const core::store_object&)> configuration_follower::content_hook()
{
    return [this](const core::store_object& object)
    {
        const auto& decoded = decode_configuration(object);
        return decoded ? decoded->version : 0;
    };
}

const std::optional<core::configuration>&
configuration_follower::decode_configuration(const core::store_object& object)
{
    if (decoded_position_ != object.position())
    {
        decoded_position_ = object.position();
        decoded_ = decoded_or_refused(object, platform::decode_configuration, refused_objects_);
    }
    return decoded_;
}

void configuration_follower::set_reading(bool reading)
{
    reading_ = reading;
    unreachable_since_.reset();
    std::fill(failed_.begin(), failed_.end(), false);
    std::fill(answered_.begin(), answered_.end(), false);
    complete_ = false;
    checking_failure_ = false;
    options_.timers->cancel(std::exchange(retry_timer_, 0));
    ++*current_probe_;
    log_event(event_id::store_reading, {{"reading", reading ? "yes" : "no"}});
    if (reading)
    {
        std::fill(last_answers_.begin(), last_answers_.end(), options_.timers->now());
        probe(evacuation_mirror);
        return;
    }
    for (const auto& mirror : mirrors_)
    {
        mirror->halt();
    }
}

void configuration_follower::probe(std::size_t index)
{
    // Hundreds of instances may try the store when it rejects most of them, so the first call is
    // the cheapest one.
    options_.long_watch_store->probe(
        std::string(platform::evacuation_prefix),
        [this, index, number = ++*current_probe_,
         weak = std::weak_ptr(current_probe_)](const core::store_list_result& answer)
        {
            const auto current = weak.lock();
            if (!current || *current != number)
            {
                return;
            }
            checking_failure_ = false;
            if (answer.status != core::store_status::ok)
            {
                on_call_failed(index);
                return;
            }
            if (options_.on_probed)
            {
                options_.on_probed();
            }
            if (unreachable_since_)
            {
                // The others follow when this one is answered.
                mirrors_[index]->resume();
                return;
            }
            for (const auto& mirror : mirrors_)
            {
                mirror->resume();
            }
        });
}

void configuration_follower::on_history_lost(std::size_t index)
{
    // The watches of the other kinds may stay silent until their own time limit.
    for (std::size_t other = 0; other < mirrors_.size(); ++other)
    {
        if (other != index && !failed_[other])
        {
            mirrors_[other]->resume();
        }
    }
}

object_mirror* configuration_follower::find(const std::string& prefix) const
{
    const auto found = std::find_if(
        mirrors_.begin(), mirrors_.end(),
        [&](const auto& each) { return each->prefix() == prefix; });
    return found == mirrors_.end() ? nullptr : found->get();
}

object_update configuration_follower::with_era_reader(object_update update) const
{
    update.era_reader = era_ ? era_->reader : std::string();
    return update;
}

void configuration_follower::adopt_era(
    std::uint64_t era, const std::string& reader, std::optional<std::size_t> reading_mirror)
{
    const auto now = options_.timers->now();
    const auto previous =
        std::exchange(era_, known_store_era{.era = era, .since = now, .reader = reader});
    const bool known_before = std::any_of(
        mirrors_.begin(), mirrors_.end(), [](const auto& each) { return each->is_listed(); });
    if (!known_before)
    {
        return;
    }
    log_event(
        event_id::store_era_changed, {{"era", std::to_string(era)},
                                      {"previous", std::to_string(previous ? previous->era : 0)},
                                      {"read_by", reader}});
    // The operator and the targets write again what the copy lacks.
    note_store_returned();
    evacuations_held_until_ = missing_entry_hold_.reregistered_by();
    if (!reading_)
    {
        return;
    }
    for (std::size_t other = 0; other < mirrors_.size(); ++other)
    {
        if (other != reading_mirror && !failed_[other])
        {
            mirrors_[other]->resume();
        }
    }
}

void configuration_follower::on_earlier_era(std::uint64_t era)
{
    if (!std::exchange(earlier_era_logged_, true))
    {
        log_event(
            event_id::store_era_unusable, {{"era", std::to_string(era)},
                                           {"known", std::to_string(era_ ? era_->era : 0)},
                                           {"problem", "lower than before"}});
    }
}

update_result configuration_follower::offer(const object_update& update)
{
    if (update.era != 0 && (!era_ || update.era > era_->era))
    {
        adopt_era(update.era, update.era_reader, std::nullopt);
    }
    object_mirror* mirror = find(update.prefix);
    return mirror == nullptr ? update_result::not_newer : mirror->offer(update);
}

std::optional<object_update> configuration_follower::whole(const std::string& prefix) const
{
    const object_mirror* mirror = find(prefix);
    return mirror == nullptr || !mirror->is_listed()
               ? std::nullopt
               : std::optional(with_era_reader(mirror->whole()));
}

std::map<std::string, object_state> configuration_follower::states() const
{
    std::map<std::string, object_state> known;
    for (const auto& mirror : mirrors_)
    {
        if (mirror->is_listed())
        {
            known.emplace(mirror->prefix(), mirror->state());
        }
    }
    return known;
}

void configuration_follower::note_store_returned()
{
    missing_entry_hold_.note_store_returned(options_.timers->now());
}

core::duration configuration_follower::longest_silence() const
{
    const auto oldest = std::min_element(last_answers_.begin(), last_answers_.end());
    return reading_ ? options_.timers->now() - *oldest : core::duration::zero();
}

std::optional<std::uint64_t> configuration_follower::version() const
{
    return published_ ? std::optional(configuration_->version) : std::nullopt;
}

void configuration_follower::on_store_answered(std::size_t index)
{
    failed_[index] = false;
    answered_[index] = true;
    last_answers_[index] = options_.timers->now();
    back_off_.reset();
    if (!unreachable_since_)
    {
        report_contact(index);
        return;
    }
    // The store answers again. Pending calls may be waiting on a connection that has since failed.
    const auto now = options_.timers->now();
    const auto outage = now - *std::exchange(unreachable_since_, std::nullopt);
    missing_entry_hold_.note_answered_again(now);
    log_event(
        event_id::configuration_regained,
        {{"kind", mirrors_[index]->prefix()},
         {"away_ms",
          std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(outage).count())}});
    options_.timers->cancel(std::exchange(retry_timer_, 0));
    for (std::size_t other = 0; other < mirrors_.size(); ++other)
    {
        if (other != index)
        {
            failed_[other] = false;
            answered_[other] = false;
            mirrors_[other]->resume();
        }
    }
}

void configuration_follower::report_contact(std::size_t index)
{
    // The others rely on a reader for every kind, so one kind that is answered is not enough.
    const bool complete = std::all_of(answered_.begin(), answered_.end(), std::identity());
    const bool was_complete = std::exchange(complete_, complete);
    if (complete && (index == target_mirror || !was_complete) && options_.on_call_result)
    {
        options_.on_call_result(true);
    }
}

void configuration_follower::mark_failed(std::size_t index)
{
    failed_[index] = true;
    answered_[index] = false;
    complete_ = false;
    if (!unreachable_since_)
    {
        unreachable_since_ = options_.timers->now();
        log_event(
            event_id::configuration_lost,
            {{"kind", mirrors_[index]->prefix()},
             {"known_version", std::to_string(mirrors_[index]->version())}});
    }
}

void configuration_follower::on_mirror_call_failed(std::size_t index)
{
    const bool first = !unreachable_since_;
    if (!reading_ || (!first && !checking_failure_))
    {
        on_call_failed(index);
        return;
    }
    mark_failed(index);
    if (first)
    {
        checking_failure_ = true;
        probe(index);
    }
}

void configuration_follower::on_call_failed(std::size_t index)
{
    mark_failed(index);
    if (options_.on_call_result)
    {
        options_.on_call_result(false);
    }
    if (!reading_)
    {
        return;
    }
    // One mirror retries until the store answers; the others wait for it, because each call counts.
    if (retry_timer_ == 0)
    {
        retry_timer_ = options_.timers->schedule_after(back_off_.next(), [this] { retry(); });
    }
}

void configuration_follower::retry()
{
    retry_timer_ = 0;
    const auto failed = std::find(failed_.begin(), failed_.end(), true);
    if (failed != failed_.end())
    {
        probe(static_cast<std::size_t>(failed - failed_.begin()));
    }
}

void configuration_follower::on_changed()
{
    // Changes of several kinds that arrive together are published as one table.
    options_.timers->cancel(update_timer_);
    update_timer_ = options_.timers->schedule_after(core::duration::zero(), [this] { update(); });
}

void configuration_follower::update()
{
    update_timer_ = 0;
    apply_configuration();
    apply_evacuations();
    const auto now = options_.timers->now();
    auto next = registry_.apply(
        mirrors_[target_mirror]->objects(), mirrors_[target_mirror]->era(), now,
        missing_entry_hold_.hold_until(now));
    if (now < evacuations_held_until_)
    {
        next = std::min(next.value_or(evacuations_held_until_), evacuations_held_until_);
    }
    if (next)
    {
        update_timer_ = options_.timers->schedule_after(*next - now, [this] { update(); });
    }
    const bool complete = std::all_of(
        mirrors_.begin(), mirrors_.end(), [](const auto& each) { return each->is_listed(); });
    if (complete && configuration_)
    {
        publish();
    }
}

void configuration_follower::apply_configuration()
{
    const auto& objects = mirrors_[configuration_mirror]->objects();
    const auto found = objects.find(std::string(platform::configuration_key));
    if (found == objects.end() || found->second.position() == seen_configuration_)
    {
        return;
    }
    seen_configuration_ = found->second.position();
    const auto& decoded = decode_configuration(found->second);
    if (!decoded || (configuration_ && decoded->version < configuration_->version))
    {
        return;
    }
    configuration_ = decoded;
    log_configuration(*configuration_, found->second);
}

std::map<std::string, core::store_object> configuration_follower::evacuations_in_force() const
{
    const bool held = options_.timers->now() < evacuations_held_until_;
    std::map<std::string, core::store_object> in_force;
    for (const auto& [key, object] : mirrors_[evacuation_mirror]->objects())
    {
        const std::string name = platform::decode_evacuation(object);
        const auto ended = ended_evacuations_.find(name);
        const bool had_ended = ended != ended_evacuations_.end() &&
                               object.era > ended->second.era &&
                               object.version <= ended->second.version;
        if (!held || !had_ended)
        {
            in_force.emplace(name, object);
        }
    }
    for (const auto& [name, object] : out_objects_)
    {
        if (held && object.era < era_->era)
        {
            in_force.emplace(name, object);
        }
    }
    return in_force;
}

void configuration_follower::apply_evacuations()
{
    const auto objects = evacuations_in_force();
    for (const auto& [name, object] : out_objects_)
    {
        if (!objects.contains(name))
        {
            ended_evacuations_[name] = {
                .era = mirrors_[evacuation_mirror]->era(), .version = object.version};
        }
    }
    out_objects_ = objects;
    std::map<std::string, core::domain_row> domains;
    for (const auto& [name, object] : objects)
    {
        domains[name] = {.name = name, .state = core::domain_state::out};
    }
    for (const auto& [name, row] : domains)
    {
        if (!domains_.contains(name))
        {
            log_event(event_id::domain_changed, {{"failure_domain", name}, {"state", "out"}});
        }
    }
    for (const auto& [name, row] : domains_)
    {
        if (!domains.contains(name))
        {
            log_event(event_id::domain_changed, {{"failure_domain", name}, {"state", "in"}});
        }
    }
    domains_ = std::move(domains);
}

void configuration_follower::publish()
{
    auto table = std::make_shared<core::table_snapshot>();
    for (const auto& mirror : mirrors_)
    {
        table->revision = std::max(table->revision, mirror->version());
    }
    table->domains = domains_;
    table->routes = configuration_->routes;
    table->limits = configuration_->limits;
    table->organisations = configuration_->organisations;
    for (const core::service_row& service : configuration_->services)
    {
        core::service_config& config = table->services[service.name];
        config.service = service;
        config.service.retry_budget_percent = options_.retry_budget_percent;
    }
    for (const auto& [name, registration] : registry_.targets())
    {
        const auto service = table->services.find(registration->service);
        if (service != table->services.end())
        {
            service->second.targets.push_back(registration->target);
        }
    }
    published_ = true;
    options_.publish(std::move(table));
}

} // namespace catkintally::entry
