#include "recorded_crash_fleet.hpp"

#include <utility>

namespace catkintally::core
{

namespace
{

constexpr duration store_delay = std::chrono::milliseconds(4);
constexpr duration link_delay = std::chrono::milliseconds(5);
constexpr duration work = std::chrono::milliseconds(100);
/// More than all crashes of a test.
constexpr int targets = 60;
const std::string prefix = "records/";

} // namespace

void record_objects::answer(const result_callback& done, std::function<store_result()> make)
{
    ++calls;
    timers_.schedule_after(
        store_delay, [this, done, make = std::move(make)]
        { done(down ? store_result{.status = store_status::unavailable, .value = {}} : make()); });
}

store_result record_objects::state_of(const std::string& key, store_status status) const
{
    const auto found = objects.find(key);
    return found == objects.end() ? store_result{.status = store_status::not_found, .value = {}}
                                  : store_result{
                                        .status = status,
                                        .version = found->second.version,
                                        .value = found->second.value};
}

void record_objects::list(const std::string&, list_callback done)
{
    ++calls;
    timers_.schedule_after(
        store_delay,
        [this, done = std::move(done)]
        {
            store_list_result result;
            result.status = down ? store_status::unavailable : store_status::ok;
            for (const auto& [key, object] : objects)
            {
                result.objects.push_back(object);
            }
            done(result);
        });
}

void record_objects::put(
    const std::string& key,
    const std::string& value,
    std::uint64_t if_version,
    result_callback done)
{
    answer(
        done,
        [this, key, value, if_version]
        {
            if (refuses_writes)
            {
                return store_result{.status = store_status::unavailable, .value = {}};
            }
            store_result known = state_of(key, store_status::conflict);
            if (known.version != if_version)
            {
                return known;
            }
            objects[key] = {.key = key, .version = ++version_, .value = value};
            return state_of(key, store_status::ok);
        });
}

void record_objects::remove(const std::string& key, std::uint64_t if_version, result_callback done)
{
    answer(
        done,
        [this, key, if_version]
        {
            if (refuses_writes)
            {
                return store_result{.status = store_status::unavailable, .value = {}};
            }
            store_result known = state_of(key, store_status::conflict);
            if (known.version != if_version)
            {
                return known;
            }
            objects.erase(key);
            return store_result{.status = store_status::ok, .value = {}};
        });
}

recorded_crash_fleet::recorded_crash_fleet(std::size_t size)
{
    auto table = std::make_shared<table_snapshot>();
    service_config& config = table->services["desk"];
    config.service.name = "desk";
    for (int number = 0; number < targets; ++number)
    {
        target_row row;
        row.name = "t" + std::to_string(number);
        row.address = "10.0.0.1:" + std::to_string(number + 1);
        row.failure_domain = "here";
        row.slots = 2;
        config.targets.push_back(row);
    }
    table_ = std::move(table);
    instances_.resize(size);
    restart_all();
}

probing_gateway_options recorded_crash_fleet::options(std::size_t number, instance& made)
{
    probing_gateway_options options;
    options.timers = &timers;
    options.seed = ++starts_;
    options.failure_domain = "here";
    options.self = "i" + std::to_string(number);
    options.probe = [this](
                        const service_config&, const target_row& target,
                        const std::function<void(probe_report)>& done)
    {
        probe_report report;
        report.answered = report.healthy = !crashed_targets_.contains(target.name);
        report.name = target.name;
        report.load = load_report{.slots = 2};
        timers.schedule_after(std::chrono::milliseconds(1), [done, report] { done(report); });
    };
    options.try_connect = [this](const target_row& target, const std::function<void(bool)>& ended)
    {
        const bool accepted = !crashed_targets_.contains(target.name);
        timers.schedule_after(std::chrono::milliseconds(1), [ended, accepted] { ended(accepted); });
    };
    options.crashed = [this, number](const target_crash& crash)
    {
        last_observer = number;
        tell(number, [crash](instance& to) { to.gateway->note_crash(crash); });
    };
    options.announce_crash_record = [this, number](const crash_record& record)
    { tell(number, [record](instance& to) { to.gateway->merge_crash_record(record); }); };
    options.cleared = [this, number](std::uint64_t fingerprint)
    {
        tell(
            number,
            [fingerprint](instance& to)
            {
                to.records->forget(fingerprint);
                to.gateway->note_answered(fingerprint);
            });
    };
    options.save_crash_record =
        [&made](std::uint64_t fingerprint, std::uint32_t crashes, std::function<void(bool)> done)
    { made.records->save(fingerprint, crashes, std::move(done)); };
    options.reserve_crash_attempt =
        [&made](std::uint64_t fingerprint, std::uint32_t crashes, std::function<void(bool)> done)
    { made.records->reserve(fingerprint, crashes, crash_records::max_crashes, std::move(done)); };
    options.remove_crash_record = [&made](std::uint64_t fingerprint)
    { made.records->remove(fingerprint); };
    return options;
}

std::unique_ptr<recorded_crash_fleet::instance> recorded_crash_fleet::make(std::size_t number)
{
    auto made = std::make_unique<instance>();
    made->gateway = std::make_unique<probing_gateway>(options(number, *made));
    made->gateway->apply(table_);
    made->records = std::make_unique<crash_record_store>(crash_record_store_options{
        .store = &store,
        .timers = &timers,
        .prefix = prefix,
        .key_of = [](std::uint64_t fingerprint) { return prefix + std::to_string(fingerprint); },
        .fingerprint_of = [](const std::string& key)
        { return std::optional<std::uint64_t>(std::stoull(key.substr(prefix.size()))); },
        .encode = [](std::uint32_t crashes) { return std::to_string(crashes); },
        .decode = [](const std::string& value)
        { return std::optional<std::uint32_t>(static_cast<std::uint32_t>(std::stoul(value))); },
        .found = [gateway = made->gateway.get()](std::uint64_t fingerprint, std::uint32_t crashes)
        { return gateway->restore_crash_record(fingerprint, crashes); },
        .known = [gateway = made->gateway.get()] { return gateway->crash_records(); }});
    if (number < readers)
    {
        made->records->set_reading(true);
        made->records->on_store_answered();
    }
    return made;
}

void recorded_crash_fleet::restart(std::size_t number)
{
    instances_[number].reset();
    instances_[number] = make(number);
    // A neighbour tells it what it knows.
    const std::size_t neighbour = (number + 1) % instances_.size();
    for (const crash_record& record : instances_[neighbour]->gateway->crash_records())
    {
        instances_[number]->gateway->merge_crash_record(record);
    }
    for (const target_crash& crash : instances_[neighbour]->gateway->suspected_crashes())
    {
        instances_[number]->gateway->note_crash(crash);
    }
}

void recorded_crash_fleet::restart_all()
{
    for (auto& each : instances_)
    {
        each.reset();
    }
    for (std::size_t number = 0; number < instances_.size(); ++number)
    {
        instances_[number] = make(number);
    }
    timers.advance(contact);
}

void recorded_crash_fleet::set_down(bool down)
{
    store.down = down;
    if (!down)
    {
        for (const auto& each : instances_)
        {
            each->records->on_store_returned();
        }
        timers.advance(std::chrono::seconds(1));
    }
}

void recorded_crash_fleet::tell(std::size_t from, std::function<void(instance&)> receive)
{
    timers.schedule_after(
        link_delay,
        [this, from, receive = std::move(receive)]
        {
            for (std::size_t to = 0; to < instances_.size(); ++to)
            {
                if (to != from && instances_[to])
                {
                    receive(*instances_[to]);
                }
            }
        });
}

void recorded_crash_fleet::send(std::size_t through, std::uint64_t fingerprint)
{
    const request_id id = ++last_id_;
    admission_request request;
    request.id = id;
    request.service = "desk";
    request.fingerprint = fingerprint;
    bool ended = false;
    instances_[through]->gateway->gateway().ask(
        request,
        [this, through, id, &ended](const admission_answer& answer)
        {
            ended = true;
            if (answer.code == decision_code::granted)
            {
                run(through, id, answer.target);
            }
        });
    while (!ended)
    {
        timers.advance(std::chrono::milliseconds(1));
    }
    timers.advance(work * 2);
}

void recorded_crash_fleet::run(std::size_t through, request_id id, const std::string& target)
{
    attempts.push_back(timers.now());
    timers.schedule_after(
        work,
        [this, through, id, target]
        {
            completion_report report;
            report.id = id;
            report.service = "desk";
            report.target = target;
            report.outcome = completion_outcome::answered;
            report.status = 200;
            if (!repaired)
            {
                crashed_targets_.insert(target);
                crashes.push_back(timers.now());
                report.outcome = completion_outcome::connection_lost;
                report.status = 0;
            }
            instances_[through]->gateway->gateway().complete(report, nullptr);
        });
}

void recorded_crash_fleet::send_often(int times, duration pause)
{
    for (int sent = 0; sent < times; ++sent)
    {
        send(last_id_ % instances_.size());
        timers.advance(pause);
    }
}

std::size_t recorded_crash_fleet::late() const
{
    return crashes.size() < 3 ? 0
                              : static_cast<std::size_t>(std::count_if(
                                    attempts.begin(), attempts.end(),
                                    [this](time_point at) { return at > crashes[2] + contact; }));
}

std::size_t recorded_crash_fleet::pending() const
{
    std::size_t sum = 0;
    for (const auto& each : instances_)
    {
        sum += each->records->pending();
    }
    return sum;
}

std::size_t recorded_crash_fleet::refusing(std::uint64_t fingerprint) const
{
    std::size_t count = 0;
    for (const auto& each : instances_)
    {
        for (const crash_record& record : each->gateway->crash_records())
        {
            count += record.fingerprint == fingerprint ? 1 : 0;
        }
    }
    return count;
}

} // namespace catkintally::core
