#include "fleet_harness.hpp"

#include <catkintally/core/fleet/placement.hpp>
#include <catkintally/core/fleet/view_codec.hpp>

#include <catch2/catch.hpp>

namespace catkintally::core::test
{

using namespace std::chrono_literals;

table_snapshot desk_table()
{
    table_snapshot table;
    table.revision = 1;
    service_config config;
    config.service.name = "desk";
    config.service.work = work_class::order;
    config.service.idempotency_key_header = "idempotency-key";
    config.service.deadline_ms = 3'000;
    config.service.queue_limit = 50;
    config.version = 1;
    for (int i = 0; i < 4; ++i)
    {
        target_row row;
        row.name = "t" + std::to_string(i);
        row.address = "127.0.0.1:" + std::to_string(9000 + i);
        row.slots = counting_targets::slots;
        row.failure_domain = i % 2 == 0 ? "a" : "b";
        config.targets.push_back(row);
    }
    table.services["desk"] = config;
    return table;
}

fleet_harness::~fleet_harness()
{
    for (auto& entry : nodes)
    {
        entry->timers->kill();
    }
}

void fleet_harness::start(const std::vector<std::string>& domains, bool wait)
{
    if (table.revision == 0)
    {
        table = desk_table();
    }
    for (const std::string& domain : domains)
    {
        start_node(domain);
    }
    if (wait)
    {
        advance(3s);
        for (const auto& entry : nodes)
        {
            REQUIRE(entry->fleet->ready());
        }
    }
}

void fleet_harness::warm_up()
{
    for (int i = 0; i < 60; ++i)
    {
        call(other({}), {}, true);
        call(other({0}), {}, true);
        advance(20ms);
    }
    // The phases reach the witness within their refresh interval.
    advance(1200ms);
}

std::size_t
fleet_harness::start_node(const std::string& domain, const std::optional<member>& earlier)
{
    const std::size_t index = nodes.size();
    auto added = std::make_unique<node>();
    added->self = earlier.value_or(member{
        .id = {.instance = "i" + std::to_string(index), .incarnation = 0},
        .failure_domain = domain,
        .peer_address = "127.0.0.1:" + std::to_string(7000 + index),
        .leaving = false});
    added->self.id.incarnation = next_incarnation_++;
    added->timers = std::make_unique<pausable_timers>(clock);
    added->store = std::make_unique<fake_object_store>(store, *added->timers);
    node* entry = added.get();
    added->fleet = std::make_unique<fleet_node>(fleet_node_options{
        .timers = added->timers.get(),
        .store = added->store.get(),
        .self = added->self,
        .seed = random_(),
        .send = [this, index](const member_id& to, wire::payloadUnion message)
        { deliver(index, to, std::move(message)); },
        .members_changed =
            [entry](const view& current)
        {
            entry->epoch_went_back = entry->epoch_went_back || current.epoch <= entry->last_epoch;
            entry->last_epoch = current.epoch;
        },
        .self_changed = [entry](const member& self) { entry->self = self; },
        .table_objects = {},
        .offer_table = {},
        .probe = {},
        .idle = {},
        .event = [](fleet_event, const std::vector<std::pair<std::string, std::string>>&) {}});
    nodes.push_back(std::move(added));
    entry->fleet->set_table(table);
    entry->fleet->start();
    return index;
}

void fleet_harness::kill(std::size_t index)
{
    nodes[index]->alive = false;
    nodes[index]->timers->kill();
}

std::size_t fleet_harness::restart(std::size_t index)
{
    kill(index);
    return start_node({}, nodes[index]->self);
}

void fleet_harness::advance(duration time)
{
    clock.advance(time);
}

void fleet_harness::cut(std::size_t left, std::size_t right, bool is_cut)
{
    const std::pair link = std::minmax(left, right);
    if (is_cut)
    {
        cuts_.insert(link);
    }
    else
    {
        cuts_.erase(link);
    }
}

void fleet_harness::isolate(std::size_t index, bool is_cut)
{
    for (std::size_t other_index = 0; other_index < nodes.size(); ++other_index)
    {
        if (other_index != index)
        {
            cut(index, other_index, is_cut);
        }
    }
}

std::size_t fleet_harness::index_of(const member_id& id) const
{
    for (std::size_t i = 0; i < nodes.size(); ++i)
    {
        if (nodes[i]->self.id == id)
        {
            return i;
        }
    }
    return nodes.size();
}

void fleet_harness::deliver(std::size_t from, const member_id& to, wire::payloadUnion message)
{
    const std::size_t index = index_of(to);
    if (index == nodes.size() || !nodes[index]->alive || cuts_.contains(std::minmax(from, index)) ||
        std::uniform_real_distribution<>(0, 1)(random_) < drop_rate)
    {
        return;
    }
    const member peer = nodes[from]->self;
    auto shared = std::make_shared<wire::payloadUnion>(std::move(message));
    nodes[index]->timers->schedule_after(
        250us, [this, index, peer, shared] { nodes[index]->fleet->receive(peer, *shared); });
}

std::shared_ptr<caller_request>
fleet_harness::call(std::size_t index, const std::string& key, bool idempotent)
{
    auto request = std::make_shared<caller_request>();
    request->node = index;
    request->id = next_id_++;
    request->key = key;
    request->idempotent = idempotent;
    request->work = work;
    requests_.push_back(request);
    nodes[index]->timers->run([this, request] { ask(request); });
    return request;
}

void fleet_harness::ask(const std::shared_ptr<caller_request>& request)
{
    nodes[request->node]->fleet->gateway().ask(
        {.id = request->id,
         .service = "desk",
         .instance = {},
         .failure_domain = {},
         .idempotent = request->idempotent,
         .key = request->key,
         .fingerprint = request->id,
         .deadline_left = 3s,
         .retry = false,
         .excluded_targets = {}},
        [this, request](const admission_answer& answer) { on_answer(request, answer); });
}

void fleet_harness::on_answer(
    const std::shared_ptr<caller_request>& request, const admission_answer& answer)
{
    if (answer.code != decision_code::granted)
    {
        request->result = caller_result{
            .granted = false,
            .ran = false,
            .answer = answer,
            .runs_at_answer =
                request->key.empty() ? targets.runs(request->id) : targets.key_runs(request->key)};
        return;
    }
    if (!nodes[request->node]->fleet->gateway().may_send(request->id))
    {
        ask(request);
        return;
    }
    const auto gap = before_send ? before_send(*request) : std::nullopt;
    if (gap)
    {
        nodes[request->node]->timers->schedule_after(
            *gap, [this, request, target = answer.target] { run_at_target(request, target); });
        return;
    }
    run_at_target(request, answer.target);
}

void fleet_harness::run_at_target(
    const std::shared_ptr<caller_request>& request, const std::string& target)
{
    targets.start(target, request->id, request->key);
    // The target goes on whether or not its dispatcher lives.
    clock.schedule_after(
        request->work,
        [this, request, target]
        {
            targets.finish(target);
            nodes[request->node]->timers->run(
                [this, request, target]
                {
                    auto answer = std::make_shared<stored_answer>();
                    answer->status = 200;
                    answer->body = "answer to " + request->key;
                    nodes[request->node]->fleet->gateway().complete(
                        {.id = request->id,
                         .service = "desk",
                         .target = target,
                         .outcome = completion_outcome::answered,
                         .status = 200,
                         .service_time = request->work,
                         .load = std::nullopt},
                        request->key.empty() ? nullptr : answer);
                    request->result = caller_result{.granted = true, .ran = true, .answer = {}};
                });
        });
}

caller_result fleet_harness::call_and_wait(std::size_t index, const std::string& key)
{
    const auto request = call(index, key);
    for (int i = 0; i < 400 && !request->result; ++i)
    {
        advance(10ms);
    }
    REQUIRE(request->result);
    return *request->result;
}

view fleet_harness::stored_view() const
{
    const auto found = store.objects.find("fleet/view");
    return found == store.objects.end() ? view{} : decode_view(found->second.value).value();
}

std::size_t fleet_harness::owner() const
{
    return index_of(place_service("desk", stored_view().members).owner->id);
}

std::size_t fleet_harness::witness() const
{
    return index_of(place_service("desk", stored_view().members).witness->id);
}

std::size_t fleet_harness::other(const std::set<std::size_t>& excluded) const
{
    for (std::size_t i = 0; i < nodes.size(); ++i)
    {
        if (nodes[i]->alive && !excluded.contains(i))
        {
            return i;
        }
    }
    return nodes.size();
}

void fleet_harness::check_invariants() const
{
    CHECK(targets.most_key_runs() <= 1);
    CHECK_FALSE(targets.cold_excess());
    for (const auto& entry : nodes)
    {
        CHECK_FALSE(entry->epoch_went_back);
    }
    for (const auto& request : requests_)
    {
        CHECK(targets.runs(request->id) <= 1);
        if (!request->result || request->result->granted)
        {
            continue;
        }
        const run_claim claim = request->result->answer.claim;
        if (claim == run_claim::not_run)
        {
            CHECK(request->result->runs_at_answer == 0);
        }
        // Whatever else is claimed, a refused request itself has not run and never will.
        CHECK(targets.runs(request->id) == 0);
    }
}

} // namespace catkintally::core::test
