#include <catkintally/runtime/http/http_client.hpp>

#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>

#include <sys/time.h>

#include <algorithm>
#include <optional>
#include <utility>

namespace catkintally::runtime
{

namespace
{

evhttp_cmd_type command_of(http_method method)
{
    switch (method)
    {
    case http_method::put:
        return EVHTTP_REQ_PUT;
    case http_method::post:
        return EVHTTP_REQ_POST;
    case http_method::remove:
        return EVHTTP_REQ_DELETE;
    default:
        return EVHTTP_REQ_GET;
    }
}

} // namespace

/// One call that has not called its hook yet.
struct http_client::pending_call
{
    http_client* client = nullptr;
    call_id id = 0;
    http_request request;
    hook done;
    connection_ptr connection;
    bool reused = false;
    /// True once libevent has reported the end of the current attempt.
    bool ended = false;
    core::time_point deadline;
    /// Nothing until the body begins to arrive.
    std::optional<core::time_point> body_deadline;
    core::timer_id deadline_timer = 0;
    core::timer_id finish_timer = 0;
    http_response response;
    /// What has arrived of the response's body.
    std::string received;
};

void http_client::connection_deleter::operator()(evhttp_connection* connection) const
{
    evhttp_connection_free(connection);
}

http_client::http_client(
    event_loop& loop, core::timer_service& timers, const http_client_options& options)
    : loop_(loop)
    , timers_(timers)
    , options_(options)
{
}

http_client::~http_client()
{
    while (!calls_.empty())
    {
        cancel(calls_.begin()->first);
    }
}

http_client::call_id http_client::call(http_request request, hook done)
{
    const call_id id = next_id_++;
    auto& started = *calls_.emplace(id, std::make_unique<pending_call>()).first->second;
    started.client = this;
    started.id = id;
    started.request = std::move(request);
    started.done = std::move(done);
    set_deadline(started, timers_.now() + started.request.deadline);
    send(started);
    return id;
}

void http_client::set_deadline(pending_call& pending, core::time_point deadline)
{
    pending.deadline = deadline;
    timers_.cancel(pending.deadline_timer);
    pending.deadline_timer = timers_.schedule_after(
        deadline - timers_.now(),
        [this, &pending]
        {
            pending.response = {.received_bytes = pending.received.size()};
            pending.connection.reset();
            pending.reused = false;
            finish(pending.id);
        });
}

void http_client::extend_deadline(pending_call& receiving)
{
    const auto now = timers_.now();
    if (!receiving.body_deadline)
    {
        receiving.body_deadline = now + receiving.request.body_deadline;
    }
    set_deadline(
        receiving, std::min(now + receiving.request.part_deadline, *receiving.body_deadline));
}

void http_client::cancel(call_id id)
{
    const auto found = calls_.find(id);
    if (found == calls_.end())
    {
        return;
    }
    timers_.cancel(found->second->deadline_timer);
    timers_.cancel(found->second->finish_timer);
    calls_.erase(found);
}

http_client::connection_ptr http_client::take_connection(pending_call& started)
{
    const auto& address = started.request.address;
    auto& kept = idle_[core::to_string(address)];
    connection_ptr connection;
    started.reused = started.request.idempotent && !started.reused && !kept.empty();
    if (started.reused)
    {
        connection = std::move(kept.back());
        kept.pop_back();
    }
    else
    {
        connection.reset(
            evhttp_connection_base_new(loop_.base(), nullptr, address.host.c_str(), address.port));
        evhttp_connection_set_max_body_size(
            connection.get(), static_cast<ev_ssize_t>(options_.max_response_bytes));
        evhttp_connection_set_max_headers_size(
            connection.get(), static_cast<ev_ssize_t>(options_.max_response_head_bytes));
    }
    // The call's own timer bounds it. libevent's default of 50 s would cut off long polls.
    const auto left =
        std::chrono::duration_cast<std::chrono::seconds>(started.deadline - timers_.now());
    evhttp_connection_set_timeout(connection.get(), static_cast<int>(left.count()) + 2);
    return connection;
}

void http_client::send(pending_call& started)
{
    started.ended = false;
    started.response = {};
    started.received.clear();
    started.body_deadline.reset();
    started.connection = take_connection(started);
    auto* request = evhttp_request_new(&http_client::on_response, &started);
    evhttp_request_set_chunked_cb(request, &http_client::on_body_part);
    auto* headers = evhttp_request_get_output_headers(request);
    // A caller's own Host field replaces the address; a request with two is malformed.
    const auto& fields = started.request.headers;
    const bool has_host = std::any_of(
        fields.begin(), fields.end(), [](const auto& field) { return field.first == "Host"; });
    if (!has_host)
    {
        evhttp_add_header(headers, "Host", core::to_string(started.request.address).c_str());
    }
    if (!started.request.idempotent)
    {
        evhttp_add_header(headers, "Connection", "close");
    }
    for (const auto& [name, value] : started.request.headers)
    {
        evhttp_add_header(headers, name.c_str(), value.c_str());
    }
    evbuffer_add(
        evhttp_request_get_output_buffer(request), started.request.body.data(),
        started.request.body.size());
    const int result = evhttp_make_request(
        started.connection.get(), request, command_of(started.request.method),
        started.request.target.c_str());
    if (result != 0 && !started.ended)
    {
        // Without a socket nothing has been sent.
        started.ended = true;
        started.response.outcome = http_outcome::not_connected;
        const auto id = started.id;
        started.finish_timer =
            timers_.schedule_after(core::duration::zero(), [this, id] { finish(id); });
    }
}

void http_client::on_body_part(evhttp_request* response, void* context)
{
    auto& receiving = *static_cast<pending_call*>(context);
    evbuffer* input = evhttp_request_get_input_buffer(response);
    const std::size_t size = evbuffer_get_length(input);
    const std::size_t before = receiving.received.size();
    receiving.received.resize(before + size);
    evbuffer_copyout(input, receiving.received.data() + before, size);
    if (!receiving.ended)
    {
        receiving.client->extend_deadline(receiving);
    }
}

// libevent still uses the connection after this callback, and may call it from inside send(), so
// the call ends in a later turn of the loop.
void http_client::on_response(evhttp_request* response, void* context)
{
    auto& ended = *static_cast<pending_call*>(context);
    ended.ended = true;
    if (response != nullptr)
    {
        const int status = evhttp_request_get_response_code(response);
        // libevent passes a request without a status when the connection could not be made.
        ended.response.outcome = status == 0 ? http_outcome::not_connected : http_outcome::answered;
        ended.response.status = status;
        on_body_part(response, context);
        ended.response.body = std::move(ended.received);
        for (const auto* header = evhttp_request_get_input_headers(response)->tqh_first;
             header != nullptr; header = header->next.tqe_next)
        {
            ended.response.headers.emplace_back(header->key, header->value);
        }
    }
    ended.response.received_bytes = std::max(ended.response.body.size(), ended.received.size());
    ended.finish_timer = ended.client->timers_.schedule_after(
        core::duration::zero(), [&ended] { ended.client->finish(ended.id); });
}

bool http_client::may_send_again(const pending_call& ended) const
{
    return ended.reused && ended.response.outcome != http_outcome::answered &&
           timers_.now() < ended.deadline;
}

void http_client::finish(call_id id)
{
    auto& ended = *calls_.at(id);
    if (may_send_again(ended))
    {
        ended.connection.reset();
        send(ended);
        return;
    }
    timers_.cancel(ended.deadline_timer);
    timers_.cancel(ended.finish_timer);
    auto& kept = idle_[core::to_string(ended.request.address)];
    if (ended.request.idempotent && ended.response.outcome == http_outcome::answered &&
        kept.size() < options_.max_idle_connections)
    {
        kept.push_back(std::move(ended.connection));
    }
    const auto owned = std::move(calls_.extract(id).mapped());
    owned->done(std::move(owned->response));
}

} // namespace catkintally::runtime
