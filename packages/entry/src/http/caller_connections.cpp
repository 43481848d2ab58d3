#include <catkintally/entry/http/caller_connections.hpp>

#include <event2/buffer.h>
#include <event2/bufferevent.h>

#include <utility>

#include <sys/socket.h>

namespace catkintally::entry
{

namespace
{

/// Resolution of the time limits.
constexpr auto sweep_interval = std::chrono::milliseconds(100);

/// A socket closed with unread input is reset, and the reset can overtake the refusal. So input is
/// read and dropped for this long.
constexpr auto linger_time = std::chrono::seconds(1);

} // namespace

struct caller_connections::entry
{
    bufferevent* stream = nullptr;
    std::unique_ptr<head_gate> gate;
    phase now = phase::idle;
    core::time_point since{};
    /// Response bytes that were unsent at the last sweep.
    std::size_t unsent = 0;
    /// Fault of a request whose refusal waits for the response before it.
    request_fault fault = request_fault::malformed;
    caller_connections* owner = nullptr;
    evbuffer_cb_entry* output_watch = nullptr;
};

caller_connections::caller_connections(
    runtime::event_loop& loop,
    core::timer_service& timers,
    caller_limits limits,
    std::function<std::string(request_fault)> refusal)
    : loop_(loop)
    , timers_(timers)
    , limits_(limits)
    , refusal_(std::move(refusal))
{
    sweep();
}

caller_connections::~caller_connections()
{
    timers_.cancel(sweep_timer_);
    for (auto& [stream, owned] : entries_)
    {
        release(*owned);
    }
}

void caller_connections::release(entry& released)
{
    released.gate.reset();
    evbuffer_remove_cb_entry(bufferevent_get_output(released.stream), released.output_watch);
    bufferevent_decref(released.stream);
}

bufferevent* caller_connections::create()
{
    // The extra reference keeps the stream's address and its socket from being used again while the
    // entry exists. evhttp shuts the socket down when it lets go; the last reference closes it.
    bufferevent* stream = bufferevent_socket_new(loop_.base(), -1, BEV_OPT_CLOSE_ON_FREE);
    bufferevent_incref(stream);
    auto added = std::make_unique<entry>();
    entry& self = *added;
    self.stream = stream;
    self.owner = this;
    self.output_watch = evbuffer_add_cb(
        bufferevent_get_output(stream),
        [](evbuffer* output, const evbuffer_cb_info*, void* context)
        {
            auto* watched = static_cast<entry*>(context);
            if (watched->now == phase::refusing && evbuffer_get_length(output) == 0)
            {
                watched->owner->send_refusal(*watched);
            }
        },
        &self);
    self.since = timers_.now();
    self.gate = std::make_unique<head_gate>(
        bufferevent_get_input(stream),
        head_gate_options{
            .max_bytes = limits_.header_bytes,
            .skip_blank_lines = true,
            .check = [this, &self](std::string_view head) { return check_head(self, head); },
            .too_large = [this, &self] { refuse(self, request_fault::head_too_large); },
            // A trailer would be merged into the fields that were checked and routed by.
            .max_chunked_bytes = limits_.body_bytes,
            .trailers = false,
            .bad_body =
                [this, &self](chunk_state state)
            {
                refuse(
                    self, state == chunk_state::too_large ? request_fault::body_too_large
                                                          : request_fault::malformed);
            }});
    self.gate->await_head();
    entries_.emplace(stream, std::move(added));
    return stream;
}

head_verdict caller_connections::check_head(entry& checked, std::string_view head)
{
    const request_verdict verdict = check_request_head(head, limits_.body_bytes);
    if (verdict.fault)
    {
        refuse(checked, *verdict.fault);
        return head_verdict::reject;
    }
    checked.now = phase::receiving;
    checked.since = timers_.now();
    return verdict.chunked ? head_verdict::pass_chunked : head_verdict::pass;
}

void caller_connections::refuse(entry& refused, request_fault fault)
{
    refused.gate->discard();
    refused.fault = fault;
    refused.now = phase::refusing;
    // A pipelined request is refused after the response before it.
    if (evbuffer_get_length(bufferevent_get_output(refused.stream)) == 0)
    {
        send_refusal(refused);
    }
}

void caller_connections::send_refusal(entry& refused)
{
    // evhttp has no request yet, so the refusal goes to the socket directly. A refusal is far
    // smaller than the socket's buffer.
    const int socket = bufferevent_getfd(refused.stream);
    const std::string text = refusal_(refused.fault);
    [[maybe_unused]] const auto sent =
        send(socket, text.data(), text.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    shutdown(socket, SHUT_WR);
    refused.now = phase::lingering;
    refused.since = timers_.now();
}

void caller_connections::handling(bufferevent* stream)
{
    const auto found = entries_.find(stream);
    if (found != entries_.end())
    {
        found->second->now = phase::handling;
        // A pipelined head must pass the gate, too.
        found->second->gate->take_back();
    }
}

void caller_connections::replied(bufferevent* stream)
{
    const auto found = entries_.find(stream);
    if (found != entries_.end())
    {
        found->second->now = phase::idle;
        found->second->since = timers_.now();
        found->second->gate->await_head();
    }
}

bool caller_connections::is_alive(const entry& checked)
{
    // evhttp removes its callbacks when it lets go of a stream.
    bufferevent_event_cb on_event = nullptr;
    bufferevent_getcb(checked.stream, nullptr, nullptr, &on_event, nullptr);
    return on_event != nullptr;
}

bool caller_connections::is_busy() const
{
    for (const auto& [stream, owned] : entries_)
    {
        const bool waiting = owned->now == phase::idle && !owned->gate->holds_bytes();
        const bool written = evbuffer_get_length(bufferevent_get_output(stream)) == 0;
        if (is_alive(*owned) && !(waiting && written) && owned->now != phase::closing)
        {
            return true;
        }
    }
    return false;
}

void caller_connections::close_idle()
{
    for (const auto& [stream, owned] : entries_)
    {
        const int socket = bufferevent_getfd(stream);
        char byte = 0;
        if (is_alive(*owned) && owned->now == phase::idle && !owned->gate->holds_bytes() &&
            evbuffer_get_length(bufferevent_get_output(stream)) == 0 &&
            recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0)
        {
            // evhttp reads the end of the connection and frees it.
            shutdown(socket, SHUT_RDWR);
            owned->now = phase::closing;
        }
    }
}

void caller_connections::inspect(entry& inspected)
{
    const auto now = timers_.now();
    // A caller that takes bytes of its response is not idle.
    const std::size_t unsent = evbuffer_get_length(bufferevent_get_output(inspected.stream));
    if (unsent != std::exchange(inspected.unsent, unsent))
    {
        inspected.since = now;
    }
    const auto age = now - inspected.since;
    const int socket = bufferevent_getfd(inspected.stream);
    switch (inspected.now)
    {
    case phase::idle:
        if (inspected.gate->holds_bytes())
        {
            inspected.now = phase::receiving;
            inspected.since = now;
        }
        else if (age > limits_.idle_time)
        {
            shutdown(socket, SHUT_RDWR);
            inspected.now = phase::closing;
        }
        break;
    case phase::receiving:
        if (age > limits_.request_time)
        {
            refuse(inspected, request_fault::slow_caller);
        }
        break;
    case phase::lingering:
        if (age > linger_time)
        {
            shutdown(socket, SHUT_RDWR);
            inspected.now = phase::closing;
        }
        break;
    case phase::refusing:
        if (age > limits_.idle_time)
        {
            shutdown(socket, SHUT_RDWR);
            inspected.now = phase::closing;
        }
        break;
    case phase::handling:
    case phase::closing:
        break;
    }
}

void caller_connections::sweep()
{
    for (auto at = entries_.begin(); at != entries_.end();)
    {
        if (is_alive(*at->second))
        {
            inspect(*at->second);
            ++at;
            continue;
        }
        release(*at->second);
        at = entries_.erase(at);
    }
    sweep_timer_ = timers_.schedule_after(sweep_interval, [this] { sweep(); });
}

} // namespace catkintally::entry
