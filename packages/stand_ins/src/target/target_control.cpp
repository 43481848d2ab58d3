#include <catkintally/stand_ins/target/target_control.hpp>

#include <event2/buffer.h>
#include <event2/http.h>

#include <stdexcept>

namespace catkintally::stand_ins
{

namespace
{

void send_json(evhttp_request* request, int status, const boost::json::value& body)
{
    const std::string text = boost::json::serialize(body) + "\n";
    evbuffer* buffer = evbuffer_new();
    evbuffer_add(buffer, text.data(), text.size());
    evhttp_add_header(
        evhttp_request_get_output_headers(request), "Content-Type", "application/json");
    evhttp_send_reply(request, status, nullptr, buffer);
    evbuffer_free(buffer);
}

std::string read_body(evhttp_request* request)
{
    evbuffer* input = evhttp_request_get_input_buffer(request);
    std::string body(evbuffer_get_length(input), '\0');
    evbuffer_copyout(input, body.data(), body.size());
    return body;
}

bool known_member(const std::string& name, const boost::json::value& value)
{
    if (name == "target" || name == "rate_limit")
    {
        return value.is_string();
    }
    if (name == "report")
    {
        return value == "honest" || value == "stale" || value == "misleading";
    }
    if (name == "slow_factor" || name == "slow_ms")
    {
        return value.is_number();
    }
    return (name == "drain" || name == "shed" || name == "fail" || name == "cold" ||
            name == "crash" || name == "watch_starts" || name == "reset_when_full") &&
           value.is_bool();
}

} // namespace

std::string apply_control(target_model& target, const boost::json::object& control)
{
    for (const auto& [name, value] : control)
    {
        if (!known_member(name, value))
        {
            return "unknown member or wrong type: " + std::string(name);
        }
    }
    const auto flag = [&](const char* name) -> const bool*
    {
        const auto* found = control.if_contains(name);
        return found == nullptr ? nullptr : found->if_bool();
    };
    if (const auto* factor = control.if_contains("slow_factor"))
    {
        const auto* length = control.if_contains("slow_ms");
        const auto milliseconds =
            length == nullptr ? std::int64_t{1000} : length->to_number<std::int64_t>();
        target.set_slow(factor->to_number<double>(), std::chrono::milliseconds(milliseconds));
    }
    if (const auto* limit = control.if_contains("rate_limit"))
    {
        target.set_rate_limit(std::string(limit->as_string()));
    }
    if (const bool* drain = flag("drain"))
    {
        target.set_draining(*drain);
    }
    if (const bool* watched = flag("watch_starts"))
    {
        target.watch_starts(*watched);
    }
    if (const bool* shed = flag("shed"))
    {
        target.set_shedding(*shed);
    }
    if (const bool* reset = flag("reset_when_full"))
    {
        target.set_reset_when_full(*reset);
    }
    if (const bool* fail = flag("fail"))
    {
        target.set_failing(*fail);
    }
    if (const bool* cold = flag("cold"); cold != nullptr && *cold)
    {
        target.make_cold();
    }
    if (const auto* report = control.if_contains("report"))
    {
        target.set_report(
            *report == "stale"        ? report_mode::stale
            : *report == "misleading" ? report_mode::misleading
                                      : report_mode::honest);
    }
    if (const bool* crash = flag("crash"); crash != nullptr && *crash)
    {
        target.crash();
    }
    return {};
}

target_control::target_control(
    runtime::event_loop& loop,
    const std::string& address,
    std::uint16_t port,
    target_log& log,
    std::vector<std::unique_ptr<target_server>>& servers)
    : log_(log)
    , servers_(servers)
    , http_(evhttp_new(loop.base()))
{
    evhttp_set_gencb(
        http_,
        [](evhttp_request* request, void* context)
        { static_cast<target_control*>(context)->handle(request); },
        this);
    if (evhttp_bind_socket(http_, address.c_str(), port) != 0)
    {
        evhttp_free(http_);
        throw std::runtime_error("cannot listen on admin port " + std::to_string(port));
    }
}

target_control::~target_control()
{
    evhttp_free(http_);
}

void target_control::handle(evhttp_request* request)
{
    const std::string path = evhttp_request_get_uri(request);
    const bool post = evhttp_request_get_command(request) == EVHTTP_REQ_POST;
    if (path == "/log")
    {
        send_json(request, 200, log_.to_json());
    }
    else if (path == "/status")
    {
        boost::json::object status;
        for (const auto& server : servers_)
        {
            target_model& model = server->model();
            status[model.options().name] = model.down() ? "down" : model.load_report();
        }
        send_json(request, 200, status);
    }
    else if (post && path == "/reset")
    {
        log_.reset();
        send_json(request, 200, boost::json::object{});
    }
    else if (post && path == "/control")
    {
        const std::string error = control(read_body(request));
        send_json(request, error.empty() ? 200 : 400, boost::json::object{{"error", error}});
    }
    else
    {
        send_json(request, 404, boost::json::object{{"error", "no such path"}});
    }
}

std::string target_control::control(const std::string& body)
{
    boost::system::error_code failed;
    const boost::json::value parsed = boost::json::parse(body, failed);
    if (failed || !parsed.is_object() || !parsed.as_object().contains("target") ||
        !parsed.at("target").is_string())
    {
        return "expected an object that names a target";
    }
    const auto& object = parsed.as_object();
    const auto& name = object.at("target").as_string();
    bool found = false;
    for (const auto& server : servers_)
    {
        if (name == "all" || name == server->model().options().name)
        {
            found = true;
            if (std::string error = apply_control(server->model(), object); !error.empty())
            {
                return error;
            }
        }
    }
    return found ? std::string() : "unknown target: " + std::string(name);
}

} // namespace catkintally::stand_ins
