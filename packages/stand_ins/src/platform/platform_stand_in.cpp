#include <catkintally/stand_ins/platform/platform_stand_in.hpp>

#include "call.hpp"
#include "http_question.hpp"

#include <event2/http.h>

#include <arpa/inet.h>
#include <sys/socket.h>

#include <algorithm>

namespace catkintally::stand_ins
{

namespace json = boost::json;

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t max_value_bytes = 1'000'000;
constexpr std::uint64_t max_watch_ms = 60'000;

constexpr std::string_view objects_path = "/v1/objects/";

/// Objects on one page of a list.
constexpr std::size_t page_items = 500;

std::uint16_t port_of(evhttp_bound_socket* bound)
{
    sockaddr_storage address{};
    socklen_t size = sizeof(address);
    getsockname(evhttp_bound_socket_get_fd(bound), reinterpret_cast<sockaddr*>(&address), &size);
    return ntohs(
        address.ss_family == AF_INET6 ? reinterpret_cast<sockaddr_in6*>(&address)->sin6_port
                                      : reinterpret_cast<sockaddr_in*>(&address)->sin_port);
}

std::string quoted(const std::string& text)
{
    return json::serialize(json::string(text));
}

std::string name_of(const std::string& key)
{
    return key.substr(key.find('/') + 1);
}

std::string object_text(
    const std::string& key,
    std::uint64_t version,
    const std::string& value,
    const std::string& status)
{
    return R"({"metadata":{"name":)" + quoted(name_of(key)) + R"(,"revision":)" +
           std::to_string(version) + R"(,"created":1,"finalizers":[],"deleting":false},"spec":)" +
           value + R"(,"status":)" + status + "}";
}

/// Name and version that a write names in its body, and the value that it writes.
struct write_content
{
    std::string name;
    std::optional<std::uint64_t> version;
    std::string value;
    std::string status;
};

std::optional<write_content> parse_write(const std::string& body)
{
    try
    {
        const auto parsed = json::parse(body).as_object();
        write_content content;
        if (const auto* metadata = parsed.if_contains("metadata"))
        {
            content.name = std::string(metadata->at("name").as_string());
            if (const auto* version = metadata->as_object().if_contains("revision"))
            {
                content.version = version->to_number<std::uint64_t>();
            }
        }
        const auto text = [&](const char* name)
        {
            const auto* found = parsed.if_contains(name);
            return found == nullptr ? "null" : json::serialize(*found);
        };
        content.value = text("spec");
        content.status = text("status");
        return content;
    }
    catch (const std::exception&)
    {
        return std::nullopt;
    }
}

call_kind kind_of(evhttp_cmd_type method, bool whole_kind, bool watch)
{
    switch (method)
    {
    case EVHTTP_REQ_GET:
        return !whole_kind ? call_kind::get : watch ? call_kind::watch : call_kind::list;
    case EVHTTP_REQ_POST:
        return whole_kind ? call_kind::create : call_kind::none;
    case EVHTTP_REQ_PUT:
        return whole_kind ? call_kind::none : call_kind::put;
    case EVHTTP_REQ_DELETE:
        return whole_kind ? call_kind::none : call_kind::remove;
    default:
        return call_kind::none;
    }
}

} // namespace

void platform_stand_in::http_deleter::operator()(evhttp* server) const
{
    evhttp_free(server);
}

platform_stand_in::platform_stand_in(
    runtime::event_loop& loop,
    core::timer_service& timers,
    const platform_stand_in_options& options)
    : timers_(timers)
    , server_(evhttp_new(loop.base()))
    , random_(options.seed)
    , store_(options.history_limit)
    , writes_(options.writes_per_s, timers.now())
    , reads_(options.reads_per_s, timers.now())
{
    evhttp_set_allowed_methods(
        server_.get(), EVHTTP_REQ_GET | EVHTTP_REQ_PUT | EVHTTP_REQ_POST | EVHTTP_REQ_DELETE);
    evhttp_set_max_body_size(server_.get(), 2 * max_value_bytes);
    evhttp_set_gencb(
        server_.get(),
        [](evhttp_request* request, void* self)
        { static_cast<platform_stand_in*>(self)->receive(request); },
        this);
    auto* bound =
        evhttp_bind_socket_with_handle(server_.get(), options.address.c_str(), options.port);
    port_ = bound == nullptr ? 0 : port_of(bound);
}

platform_stand_in::~platform_stand_in()
{
    for (const auto& waiting : calls_)
    {
        timers_.cancel(waiting->timer);
    }
    // The server reports the end of each connection to its call, so it goes first.
    server_.reset();
}

void platform_stand_in::receive(evhttp_request* request)
{
    http_question asked(request);
    if (asked.path == "/control")
    {
        receive_control(request);
        return;
    }
    auto started = std::make_shared<call>();
    started->request = request;
    started->if_version = asked.number("revision");
    started->after = asked.text("after");
    started->from = asked.number("watch").value_or(0);
    started->watch_limit =
        milliseconds(std::min(asked.number("wait-ms").value_or(0), max_watch_ms));
    const bool watch = !asked.text("watch").empty();
    if (asked.path.starts_with(objects_path) && asked.path.size() > objects_path.size())
    {
        started->key = asked.path.substr(objects_path.size());
        const bool whole_kind = started->key.find('/') == std::string::npos;
        started->kind = kind_of(asked.method, whole_kind, watch);
        if (whole_kind)
        {
            started->key += '/';
        }
    }
    started->body = body_of(request);
    calls_.push_back(started);
    evhttp_connection_set_closecb(
        evhttp_request_get_connection(request),
        [](evhttp_connection*, void* context) { static_cast<call*>(context)->request = nullptr; },
        started.get());
    start_object_call(started);
}

void platform_stand_in::receive_control(evhttp_request* request)
{
    if (evhttp_request_get_command(request) != EVHTTP_REQ_POST)
    {
        send_answer(request, 200, json::serialize(state()));
        return;
    }
    boost::system::error_code error;
    const auto switches = json::parse(body_of(request), error);
    if (error || !switches.is_object())
    {
        send_answer(request, 400, R"({"error":"the body is not a JSON object"})");
        return;
    }
    try
    {
        send_answer(request, 200, json::serialize(control(switches.get_object())));
    }
    catch (const std::exception& wrong)
    {
        send_answer(request, 400, R"({"error":)" + quoted(wrong.what()) + "}");
    }
}

json::object platform_stand_in::control(const json::object& switches)
{
    const auto number = [&](const char* name, std::uint64_t& member)
    {
        if (const auto* value = switches.if_contains(name))
        {
            member = value->to_number<std::uint64_t>();
        }
    };
    number("slow_ms", slow_ms_);
    number("lose_answer_percent", lose_answer_percent_);
    number("lose_answers", lose_answers_);
    if (const auto* value = switches.if_contains("writes_per_s"))
    {
        writes_.set_rate(value->to_number<double>(), timers_.now());
    }
    if (const auto* value = switches.if_contains("reads_per_s"))
    {
        reads_.set_rate(value->to_number<double>(), timers_.now());
    }
    if (const auto* value = switches.if_contains("seed"))
    {
        random_.seed(value->to_number<std::uint64_t>());
    }
    if (const auto* value = switches.if_contains("set_instance"))
    {
        store_.put(
            "instances/" + std::string(value->at("id").as_string()), json::serialize(*value),
            std::nullopt);
        notify_watches();
    }
    if (const auto* value = switches.if_contains("remove_instance"))
    {
        store_.remove("instances/" + std::string(value->as_string()), std::nullopt);
        notify_watches();
    }
    if (const auto* value = switches.if_contains("forget_history"); value && value->as_bool())
    {
        store_.forget_history();
    }
    if (const auto* value = switches.if_contains("save_copy"); value && value->as_bool())
    {
        store_.save_copy();
    }
    if (const auto* value = switches.if_contains("return_from_copy"); value && value->as_bool())
    {
        store_.return_from_copy();
        notify_watches();
    }
    if (const auto* value = switches.if_contains("era"))
    {
        era_text_ =
            value->is_null() ? std::nullopt : std::optional(std::string(value->as_string()));
    }
    if (const auto* value = switches.if_contains("silent"))
    {
        silent_ = value->as_bool();
    }
    if (const auto* value = switches.if_contains("outage"))
    {
        outage_ = value->as_bool();
        // An outage also ends the watches that wait.
        notify_watches();
    }
    return state();
}

json::object platform_stand_in::state() const
{
    return {
        {"version", store_.version()},
        {"era", store_.era()},
        {"objects", store_.objects().size()},
        {"outage", outage_},
        {"slow_ms", slow_ms_},
        {"lose_answer_percent", lose_answer_percent_},
        {"lose_answers", lose_answers_},
        {"silent", silent_},
        {"writes_per_s", writes_.rate()},
        {"reads_per_s", reads_.rate()},
        {"counts",
         {{"reads", counts_.reads},
          {"writes", counts_.writes},
          {"watches", counts_.watches},
          {"refused_rate", counts_.refused_rate},
          {"refused_outage", counts_.refused_outage},
          {"conflicts", counts_.conflicts},
          {"lost_answers", counts_.lost_answers}}}};
}

bool platform_stand_in::take_rate(const call& started)
{
    const bool write = is_write(started.kind);
    ++(write ? counts_.writes : started.kind == call_kind::watch ? counts_.watches : counts_.reads);
    return (write ? writes_ : reads_).take(timers_.now());
}

void platform_stand_in::start_object_call(const std::shared_ptr<call>& started)
{
    if (started->kind == call_kind::none)
    {
        started->set_answer(404, R"({"error":"no such path or method"})");
    }
    else if (silent_)
    {
        // The call is neither executed nor answered; it stays until the caller closes.
        return;
    }
    else if (outage_)
    {
        ++counts_.refused_outage;
        started->set_answer(503, R"({"error":"out of service"})");
    }
    else if (!take_rate(*started))
    {
        ++counts_.refused_rate;
        started->set_answer(429, R"({"error":"rate exceeded"})");
    }
    else if (started->body.size() > max_value_bytes)
    {
        started->set_answer(413, R"({"error":"the value is larger than 1 MB"})");
    }
    else if (
        (started->kind == call_kind::put || started->kind == call_kind::create) &&
        !parse_write(started->body))
    {
        started->set_answer(400, R"({"error":"the body is not an object"})");
    }
    if (started->status != 0)
    {
        finish(started);
    }
    else if (slow_ms_ == 0)
    {
        execute(started);
    }
    else
    {
        later(started, half_delay(), [this, started] { execute(started); });
    }
}

void platform_stand_in::execute(const std::shared_ptr<call>& running)
{
    switch (running->kind)
    {
    case call_kind::get:
        execute_get(*running);
        break;
    case call_kind::list:
        execute_list(*running);
        break;
    case call_kind::watch:
        start_watch(running);
        return;
    default:
        execute_write(*running);
        break;
    }
    if (slow_ms_ == 0)
    {
        finish(running);
    }
    else
    {
        later(running, half_delay(), [this, running] { finish(running); });
    }
    if (is_write(running->kind))
    {
        notify_watches();
    }
}

void platform_stand_in::execute_get(call& running)
{
    const auto found = store_.objects().find(running.key);
    if (found == store_.objects().end())
    {
        running.set_answer(404, R"({"error":"no such object"})");
        return;
    }
    const auto& [key, object] = *found;
    running.set_answer(200, object_text(key, object.version, object.value, object.status));
}

void platform_stand_in::execute_list(call& running)
{
    std::string out = R"({"items":[)";
    const auto& objects = store_.objects();
    const std::string& prefix = running.key;
    auto it = running.after.empty() ? objects.lower_bound(prefix)
                                    : objects.upper_bound(prefix + running.after);
    std::size_t items = 0;
    for (; it != objects.end() && it->first.starts_with(prefix) && items < page_items; ++it)
    {
        out += items++ == 0 ? "" : ",";
        out += object_text(it->first, it->second.version, it->second.value, it->second.status);
    }
    const bool more = it != objects.end() && it->first.starts_with(prefix);
    out += std::string(R"(],"more":)") + (more ? "true" : "false");
    running.set_answer(200, out + R"(,"store-revision":)" + std::to_string(store_.version()) + "}");
}

void platform_stand_in::execute_write(call& running)
{
    const bool create = running.kind == call_kind::create;
    std::optional<std::uint64_t> written;
    std::string removed;
    if (running.kind == call_kind::remove)
    {
        const auto known = store_.objects().find(running.key);
        removed = known == store_.objects().end() ? "null" : known->second.value;
        written = store_.remove(running.key, running.if_version);
    }
    else
    {
        const write_content content = parse_write(running.body).value_or(write_content{});
        running.key += create ? content.name : "";
        if (!create && store_.version_of(running.key) == 0)
        {
            running.set_answer(404, R"({"error":"no such object"})");
            return;
        }
        const auto condition = create            ? std::optional<std::uint64_t>(0)
                               : content.version ? content.version
                                                 : running.if_version;
        written = store_.put(running.key, content.value, condition);
    }
    counts_.conflicts += written ? 0 : 1;
    running.lose = written && lose_this_answer();
    const auto found = store_.objects().find(running.key);
    const std::string object =
        found == store_.objects().end()
            // A removed object is answered with the version of its removal.
            ? (written ? object_text(running.key, *written, removed, "null") : "")
            : object_text(
                  running.key, found->second.version, found->second.value, found->second.status);
    running.set_answer(written ? 200 : 409, object);
}

bool platform_stand_in::lose_this_answer()
{
    if (lose_answers_ > 0)
    {
        --lose_answers_;
        return true;
    }
    return lose_answer_percent_ > 0 &&
           std::uniform_int_distribution<std::uint64_t>(1, 100)(random_) <= lose_answer_percent_;
}

void platform_stand_in::start_watch(const std::shared_ptr<call>& running)
{
    running->watching = true;
    if (!answer_watch_events(running))
    {
        wait_for_events(running, running->watch_limit);
    }
}

// A waiting watch counts as one read each second; the first one was taken when it began.
void platform_stand_in::wait_for_events(const std::shared_ptr<call>& waiting, core::duration left)
{
    const auto step = std::min<core::duration>(left, seconds(1));
    later(
        waiting, step,
        [this, waiting, left, step]
        {
            if (left > step)
            {
                reads_.charge(timers_.now());
                wait_for_events(waiting, left - step);
                return;
            }
            waiting->set_answer(
                200, R"({"events":[],"store-revision":)" + std::to_string(store_.version()) + "}");
            finish(waiting);
        });
}

void platform_stand_in::notify_watches()
{
    // finish() removes a call from the list, so this walks over a copy.
    const auto waiting = calls_;
    for (const auto& each : waiting)
    {
        if (each->watching && each->status == 0)
        {
            answer_watch_events(each);
        }
    }
}

bool platform_stand_in::answer_watch_events(const std::shared_ptr<call>& waiting)
{
    const auto events = store_.events_after(waiting->key, waiting->from);
    if (outage_)
    {
        ++counts_.refused_outage;
        waiting->set_answer(503, R"({"error":"out of service"})");
    }
    else if (!events)
    {
        waiting->set_answer(410, R"({"error":"that history is gone"})");
    }
    else if (events->empty())
    {
        return false;
    }
    else
    {
        std::string out = R"({"events":[)";
        for (const auto& change : *events)
        {
            out += out.back() == '[' ? "" : ",";
            out += std::string(R"({"deleted":)") + (change.value ? "false" : "true") +
                   R"(,"object":)" +
                   object_text(
                       change.key, change.version, change.value.value_or("null"), change.status) +
                   "}";
        }
        waiting->set_answer(
            200, out + R"(],"store-revision":)" + std::to_string(store_.version()) + "}");
    }
    const auto delay = slow_ms_ == 0 ? core::duration::zero() : half_delay();
    later(waiting, delay, [this, waiting] { finish(waiting); });
    return true;
}

void platform_stand_in::finish(const std::shared_ptr<call>& running)
{
    timers_.cancel(running->timer);
    if (running->lose && !running->closing)
    {
        // The connection must not be freed while libevent is still inside its request callback.
        ++counts_.lost_answers;
        running->closing = true;
        later(running, core::duration::zero(), [this, running] { finish(running); });
        return;
    }
    calls_.remove(running);
    if (running->request == nullptr)
    {
        return;
    }
    auto* connection = evhttp_request_get_connection(running->request);
    evhttp_connection_set_closecb(connection, nullptr, nullptr);
    if (running->lose)
    {
        evhttp_connection_free(connection);
        return;
    }
    send_answer(
        running->request, running->status, running->answer,
        era_text_.value_or(std::to_string(store_.era())));
}

void platform_stand_in::later(
    const std::shared_ptr<call>& waiting, core::duration delay, std::function<void()> next)
{
    timers_.cancel(waiting->timer);
    waiting->timer = timers_.schedule_after(delay, std::move(next));
}

core::duration platform_stand_in::half_delay()
{
    const auto slow = core::duration(milliseconds(slow_ms_)).count();
    return core::duration(
        std::uniform_int_distribution<core::duration::rep>(slow / 4, 3 * slow / 4)(random_));
}

} // namespace catkintally::stand_ins
