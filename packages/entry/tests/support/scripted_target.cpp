#include "support/scripted_target.hpp"

#include <catkintally/entry/http/http_frontend.hpp>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>

#include <utility>

#include <sys/socket.h>

namespace catkintally::entry
{

namespace
{

/// Length of the first complete request in the text, or 0.
std::size_t request_length(const std::string& text)
{
    const auto head = text.find("\r\n\r\n");
    if (head == std::string::npos)
    {
        return 0;
    }
    const auto parsed = parse_http_head(std::string_view(text).substr(0, head + 4));
    const auto length = parsed ? parse_body_framing(parsed->fields).length.value_or(0) : 0;
    return text.size() < head + 4 + length ? 0 : head + 4 + length;
}

} // namespace

scripted_target::scripted_target(runtime::event_loop& loop, target_script initial_script)
    : script(std::move(initial_script))
    , loop_(loop)
{
    listener_ = evconnlistener_new(
        loop.base(),
        [](evconnlistener*, int socket, sockaddr*, int, void* context)
        { static_cast<scripted_target*>(context)->on_accept(socket); },
        this, LEV_OPT_CLOSE_ON_FREE, 0, bind_listener("127.0.0.1:0"));
}

scripted_target::~scripted_target()
{
    close_all();
    evconnlistener_free(listener_);
}

std::string scripted_target::address() const
{
    return "127.0.0.1:" + std::to_string(bound_port(evconnlistener_get_fd(listener_)));
}

void scripted_target::on_accept(int socket)
{
    ++accepted;
    bufferevent* stream = bufferevent_socket_new(loop_.base(), socket, BEV_OPT_CLOSE_ON_FREE);
    if (script.close_on_accept)
    {
        bufferevent_free(stream);
        return;
    }
    connections_[stream].number = accepted;
    bufferevent_setcb(
        stream,
        [](bufferevent* from, void* context)
        { static_cast<scripted_target*>(context)->on_data(from); },
        [](bufferevent* to, void* context)
        {
            // The output buffer is empty: write the next segment.
            auto* self = static_cast<scripted_target*>(context);
            const auto found = self->connections_.find(to);
            if (found == self->connections_.end() || found->second.held)
            {
                return;
            }
            if (!found->second.unsent.empty())
            {
                self->answer(to);
            }
            else
            {
                const std::string& more = self->script.endless;
                self->endless_bytes += more.size();
                bufferevent_write(to, more.data(), more.size());
            }
        },
        [](bufferevent* from, short what, void* context)
        {
            if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0)
            {
                auto* self = static_cast<scripted_target*>(context);
                ++self->closed_by_peer;
                self->close(from);
            }
        },
        this);
    bufferevent_enable(stream, script.unread ? EV_WRITE : EV_READ | EV_WRITE);
}

void scripted_target::on_data(bufferevent* stream)
{
    connection_state& from = connections_.at(stream);
    begun += from.received.empty() ? 1 : 0;
    from.received += drain_text(bufferevent_get_input(stream));
    if (script.close_after_bytes > 0 && from.received.size() >= script.close_after_bytes)
    {
        close(stream);
        return;
    }
    const auto length = request_length(from.received);
    if (length == 0)
    {
        return;
    }
    ++requests;
    last_request = from.received.substr(0, length);
    from.received.erase(0, length);
    if (script.on_request)
    {
        script.on_request(last_request);
    }
    from.held = script.hold || script.timers != nullptr;
    from.unsent = script.answer;
    if (script.timers != nullptr)
    {
        answer_after_work(stream);
    }
    if (!from.held)
    {
        answer(stream);
    }
}

void scripted_target::answer_after_work(bufferevent* stream)
{
    script.timers->schedule_after(
        script.work,
        [this, stream, number = connections_.at(stream).number]
        {
            const auto found = connections_.find(stream);
            if (found != connections_.end() && found->second.number == number)
            {
                found->second.held = false;
                answer(stream);
            }
        });
}

void scripted_target::answer(bufferevent* stream)
{
    connection_state& to = connections_.at(stream);
    const auto separator = to.unsent.find('|');
    const std::string segment = to.unsent.substr(0, separator);
    to.unsent = separator == std::string::npos ? "" : to.unsent.substr(separator + 1);
    bufferevent_write(stream, segment.data(), segment.size());
    if (script.close_after && to.unsent.empty())
    {
        // libevent freezes the front of a socket's output buffer except during its own writes.
        evbuffer_unfreeze(bufferevent_get_output(stream), 1);
        evbuffer_write(bufferevent_get_output(stream), bufferevent_getfd(stream));
        if (script.reset)
        {
            const linger none{.l_onoff = 1, .l_linger = 0};
            setsockopt(bufferevent_getfd(stream), SOL_SOCKET, SO_LINGER, &none, sizeof none);
        }
        close(stream);
    }
}

void scripted_target::release()
{
    script.hold = false;
    const auto connections = connections_;
    for (const auto& [stream, from] : connections)
    {
        if (from.held)
        {
            connections_.at(stream).held = false;
            answer(stream);
        }
    }
}

void scripted_target::resume_reading()
{
    script.unread = false;
    for (const auto& [stream, from] : connections_)
    {
        bufferevent_enable(stream, EV_READ);
    }
}

void scripted_target::send_all(const std::string& text)
{
    for (const auto& [stream, from] : connections_)
    {
        bufferevent_write(stream, text.data(), text.size());
    }
}

void scripted_target::close_all()
{
    while (!connections_.empty())
    {
        close(connections_.begin()->first);
    }
}

void scripted_target::close(bufferevent* stream)
{
    connections_.erase(stream);
    bufferevent_free(stream);
}

} // namespace catkintally::entry
