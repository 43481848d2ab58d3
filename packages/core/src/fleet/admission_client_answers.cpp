#include <catkintally/core/fleet/admission_client.hpp>

#include <catkintally/wire/codec/make_message.hpp>

#include <utility>

namespace catkintally::core
{

void admission_client::fetch_answer(entry& asking, const std::string& holder)
{
    const request_id id = asking.request.id;
    const member* listed = options_.current().find_instance(instance_of(holder));
    const bool own = instance_of(holder) == options_.self().instance;
    if (own || listed == nullptr)
    {
        admission_answer answer;
        answer.code = decision_code::key_already_run;
        answer.claim = run_claim::already_run;
        if (own)
        {
            answer.replay =
                answers_.find(asking.request.service, asking.request.key, options_.timers->now());
        }
        give(id, std::move(answer));
        return;
    }
    asking.at = phase::fetching;
    asking.asked = listed->id;
    schedule(asking, owner_reply_limit);
    wire::answer_fetch_data fetch;
    fetch.request_id = id;
    fetch.service = asking.request.service;
    fetch.key = asking.request.key;
    options_.send(listed->id, wire::make_message(std::move(fetch)));
}

void admission_client::on_answer_fetch(const member_id& from, const wire::answer_fetch_data& fetch)
{
    wire::answer_reply_data reply;
    reply.request_id = fetch.request_id;
    if (const auto kept = answers_.find(fetch.service, fetch.key, options_.timers->now()))
    {
        reply.found = true;
        reply.status = kept->status;
        for (const auto& [name, value] : kept->headers)
        {
            auto field = std::make_unique<wire::header_field_data>();
            field->name = name;
            field->value = value;
            reply.headers.push_back(std::move(field));
        }
        reply.body.assign(kept->body.begin(), kept->body.end());
    }
    options_.send(from, wire::make_message(std::move(reply)));
}

void admission_client::on_answer_reply(const member_id& from, const wire::answer_reply_data& reply)
{
    const auto found = entries_.find(reply.request_id);
    if (found == entries_.end() || found->second.at != phase::fetching ||
        found->second.asked != from)
    {
        return;
    }
    admission_answer answer;
    answer.code = decision_code::key_already_run;
    answer.claim = run_claim::already_run;
    if (reply.found)
    {
        auto kept = std::make_shared<stored_answer>();
        kept->status = reply.status;
        for (const auto& field : reply.headers)
        {
            kept->headers.emplace_back(field->name, field->value);
        }
        kept->body.assign(reply.body.begin(), reply.body.end());
        answer.replay = std::move(kept);
    }
    give(reply.request_id, std::move(answer));
}

} // namespace catkintally::core
