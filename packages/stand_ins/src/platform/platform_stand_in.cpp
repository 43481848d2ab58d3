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
constexpr std::string_view instances_path = "/v1/instances/";

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
    , instances_(timers)
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
    if (asked.method == EVHTTP_REQ_PUT && asked.path.starts_with(instances_path))
    {
        register_instance(request, asked.path.substr(instances_path.size()));
        return;
    }
    auto started = std::make_shared<call>();
    started->request = request;
    started->if_version = asked.number("if_version");
    started->prefix = asked.text("prefix");
    if (asked.path == "/v1/instances" && asked.method == EVHTTP_REQ_GET)
    {
        started->kind = call_kind::instances;
    }
    else if (asked.path == "/v1/watch" && asked.method == EVHTTP_REQ_GET)
    {
        started->kind = call_kind::watch;
        started->from = asked.number("from").value_or(0);
        const auto limit = std::min(asked.number("timeout_ms").value_or(0), max_watch_ms);
        started->watch_limit = milliseconds(limit);
    }
    else if (asked.path == "/v1/objects" && asked.method == EVHTTP_REQ_GET)
    {
        started->kind = call_kind::list;
    }
    else if (asked.path.starts_with(objects_path) && asked.path.size() > objects_path.size())
    {
        started->kind = asked.method == EVHTTP_REQ_GET      ? call_kind::get
                        : asked.method == EVHTTP_REQ_PUT    ? call_kind::put
                        : asked.method == EVHTTP_REQ_DELETE ? call_kind::remove
                                                            : call_kind::none;
        started->key = asked.path.substr(objects_path.size());
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

// Stands for the platform's own knowledge of its instances, so it is neither limited nor cut off by
// an outage.
void platform_stand_in::register_instance(evhttp_request* request, const std::string& id)
{
    const std::string entry = body_of(request);
    boost::system::error_code error;
    const auto parsed = json::parse(entry, error);
    if (error || !parsed.is_object() || id.empty())
    {
        send_answer(request, 400, R"({"error":"the body is not a JSON object"})");
        return;
    }
    instances_.set(id, entry);
    send_answer(request, 200, "{}");
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
    number("instance_list_lag_ms", instance_list_lag_ms_);
    instances_.set_lag(milliseconds(instance_list_lag_ms_));
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
        instances_.set(std::string(value->at("id").as_string()), json::serialize(*value));
    }
    if (const auto* value = switches.if_contains("remove_instance"))
    {
        instances_.remove(std::string(value->as_string()));
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
        {"objects", store_.objects().size()},
        {"outage", outage_},
        {"slow_ms", slow_ms_},
        {"lose_answer_percent", lose_answer_percent_},
        {"lose_answers", lose_answers_},
        {"instance_list_lag_ms", instance_list_lag_ms_},
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
    const bool write = started.kind == call_kind::put || started.kind == call_kind::remove;
    ++(write ? counts_.writes : started.kind == call_kind::watch ? counts_.watches : counts_.reads);
    return (write ? writes_ : reads_).take(timers_.now());
}

void platform_stand_in::start_object_call(const std::shared_ptr<call>& started)
{
    boost::system::error_code error;
    if (started->kind == call_kind::none)
    {
        started->set_answer(404, R"({"error":"no such path or method"})");
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
    else if (started->kind == call_kind::put && (json::parse(started->body, error), error))
    {
        started->set_answer(400, R"({"error":"the value is not JSON"})");
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
    case call_kind::instances:
        execute_instances(*running);
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
    if (running->kind == call_kind::put || running->kind == call_kind::remove)
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
    running.set_answer(
        200, R"({"key":)" + quoted(running.key) + R"(,"version":)" +
                 std::to_string(found->second.version) + R"(,"value":)" + found->second.value +
                 "}");
}

void platform_stand_in::execute_list(call& running)
{
    std::string out = R"({"version":)" + std::to_string(store_.version()) + R"(,"objects":[)";
    const auto& objects = store_.objects();
    bool first = true;
    for (auto it = objects.lower_bound(running.prefix);
         it != objects.end() && it->first.starts_with(running.prefix); ++it)
    {
        out += first ? "" : ",";
        first = false;
        out += R"({"key":)" + quoted(it->first) + R"(,"version":)" +
               std::to_string(it->second.version) + R"(,"value":)" + it->second.value + "}";
    }
    running.set_answer(200, out + "]}");
}

void platform_stand_in::execute_instances(call& running)
{
    std::string out = R"({"instances":[)";
    for (const auto& [id, entry] : instances_.visible())
    {
        out += (out.back() == '[' ? "" : ",") + entry;
    }
    running.set_answer(200, out + "]}");
}

void platform_stand_in::execute_write(call& running)
{
    const auto written = running.kind == call_kind::put
                             ? store_.put(running.key, running.body, running.if_version)
                             : store_.remove(running.key, running.if_version);
    const auto version = written.value_or(store_.version_of(running.key));
    counts_.conflicts += written ? 0 : 1;
    running.lose = written && lose_this_answer();
    running.set_answer(written ? 200 : 409, R"({"version":)" + std::to_string(version) + "}");
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
                200, R"({"version":)" + std::to_string(store_.version()) + R"(,"events":[]})");
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
    const auto events = store_.events_after(waiting->prefix, waiting->from);
    if (outage_)
    {
        ++counts_.refused_outage;
        waiting->set_answer(503, R"({"error":"out of service"})");
    }
    else if (!events)
    {
        waiting->set_answer(410, R"({"version":)" + std::to_string(store_.version()) + "}");
    }
    else if (events->empty())
    {
        return false;
    }
    else
    {
        std::string out = R"({"version":)" + std::to_string(store_.version()) + R"(,"events":[)";
        for (const auto& change : *events)
        {
            out += out.back() == '[' ? "" : ",";
            out += R"({"key":)" + quoted(change.key) + R"(,"version":)" +
                   std::to_string(change.version) + R"(,"value":)" + change.value.value_or("null") +
                   "}";
        }
        waiting->set_answer(200, out + "]}");
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
    send_answer(running->request, running->status, running->answer);
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
