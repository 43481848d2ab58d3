#include <catkintally/ctl/command/command_line.hpp>

#include <catkintally/runtime/time/libevent_timer_service.hpp>
#include <catkintally/stand_ins/platform/platform_stand_in.hpp>

#include <catch2/catch.hpp>

#include <boost/json.hpp>

#include <event2/buffer.h>
#include <event2/http.h>

#include <arpa/inet.h>
#include <sys/socket.h>

#include <sstream>

using namespace catkintally;
using namespace catkintally::ctl;

namespace
{

/// Admin address of an instance that has one revision in force and knows request 7.
struct admin_server
{
    explicit admin_server(runtime::event_loop& loop)
        : server(evhttp_new(loop.base()))
    {
        evhttp_set_gencb(server, &admin_server::receive, this);
        sockaddr_in bound{};
        socklen_t size = sizeof(bound);
        getsockname(
            evhttp_bound_socket_get_fd(evhttp_bind_socket_with_handle(server, "127.0.0.1", 0)),
            reinterpret_cast<sockaddr*>(&bound), &size);
        address = "127.0.0.1:" + std::to_string(ntohs(bound.sin_port));
    }
    ~admin_server() { evhttp_free(server); }
    admin_server(const admin_server&) = delete;
    admin_server& operator=(const admin_server&) = delete;

    static void receive(evhttp_request* request, void* context)
    {
        auto& self = *static_cast<admin_server*>(context);
        const std::string uri = evhttp_request_get_uri(request);
        evbuffer* body = evbuffer_new();
        evbuffer_add_printf(
            body, R"({"table":{"revision":%lu}})", static_cast<unsigned long>(self.revision));
        // Each dump shows the next revision, as an instance that is catching up does.
        self.revision += uri == "/dump" ? 1 : 0;
        const bool known = uri == "/dump" || uri == "/why?id=7";
        evhttp_send_reply(request, known ? 200 : 404, nullptr, body);
        evbuffer_free(body);
    }

    evhttp* server;
    std::string address;
    std::uint64_t revision = 0;
};

/// The program's commands against a stand-in on the same loop.
struct command_fixture
{
    exit_code run(std::vector<std::string> arguments)
    {
        out.str("");
        err.str("");
        arguments.insert(arguments.begin(), "--store=127.0.0.1:" + std::to_string(stand_in.port()));
        return run_command_line(arguments, loop, timers, out, err);
    }

    runtime::event_loop loop;
    runtime::libevent_timer_service timers{loop};
    stand_ins::platform_stand_in stand_in{loop, timers, {}};
    std::ostringstream out;
    std::ostringstream err;
};

} // namespace

// Guards against commands that report success without effect, or the reverse.
TEST_CASE("each command ends with the exit code that tells what happened")
{
    command_fixture fixture;
    struct row
    {
        std::vector<std::string> arguments;
        boost::json::object switches;
        exit_code expected;
        const char* out;
        const char* err;
    };
    const std::vector<row> rows = {
        {{"set", "domain", "a", "state=in"}, {}, exit_code::not_found, "", "--create"},
        {{"set", "domain", "a", "state=in", "--create"}, {}, exit_code::done, "revision 1", ""},
        {{"set", "service", "stock", "--create", "host=stock.example"},
         {},
         exit_code::done,
         "revision 2",
         ""},
        {{"set", "target", "stock/t1", "--create", "address=127.0.0.1:81", "failure_domain=a"},
         {},
         exit_code::done,
         "revision 3",
         ""},
        {{"set", "target", "t1", "slots=2"}, {}, exit_code::usage, "", "SERVICE/NAME"},
        {{"set", "service", "stock", "ahead"}, {}, exit_code::usage, "", "COLUMN=VALUE"},
        {{"set", "service", "stock", "ahead=17"}, {}, exit_code::invalid, "", "column ahead"},
        {{"target", "drain", "stock", "t1"}, {}, exit_code::done, "revision 4", ""},
        {{"target", "drain", "stock", "t1"}, {}, exit_code::done, "no change; revision 4", ""},
        {{"target", "undrain", "stock", "t1"},
         {{"lose_answers", 1}},
         exit_code::done,
         "revision 5",
         "was lost; its change id shows that it took effect"},
        {{"domain", "out", "a"}, {}, exit_code::done, "written table/domains version 6", ""},
        {{"domain", "out", "z"}, {}, exit_code::not_found, "", "no domain z"},
        {{"--json", "domain", "in", "a"}, {}, exit_code::done, R"("outcome":"written")", ""},
        {{"table"}, {}, exit_code::done, "127.0.0.1:81", ""},
        {{"--json", "table"}, {}, exit_code::done, R"("revision":7)", ""},
        {{"export"}, {}, exit_code::done, "target,stock,t1,127.0.0.1:81,a,2,100,in", ""},
        {{"apply", "/nonexistent/file.csv"}, {}, exit_code::file_error, "", "cannot read"},
        {{"status", "--timeout=x"}, {}, exit_code::usage, "", "--timeout"},
        {{"unknown"}, {}, exit_code::usage, "", "--help"},
        {{"dump", "i9"}, {}, exit_code::not_found, "", "'i9'"},
        {{"status"}, {}, exit_code::not_in_force, "lists no instance", ""},
        {{"table"}, {{"outage", true}}, exit_code::unavailable, "", "does not answer"}};
    for (const auto& each : rows)
    {
        fixture.stand_in.control(each.switches);
        const auto code = fixture.run(each.arguments);
        INFO(each.arguments.front() << ' ' << each.out << each.err);
        INFO(fixture.out.str() << fixture.err.str());
        CHECK(code == each.expected);
        CHECK(fixture.out.str().find(each.out) != std::string::npos);
        CHECK(fixture.err.str().find(each.err) != std::string::npos);
        CHECK(((*each.err != '\0') || fixture.err.str().empty()));
    }
}

// Guards against a status that calls a revision in force while an instance lacks it or is silent.
TEST_CASE("status waits for every instance and names those that are behind")
{
    command_fixture fixture;
    admin_server current(fixture.loop);
    admin_server late(fixture.loop);
    fixture.run({"set", "domain", "a", "--create", "state=in"});
    fixture.run({"domain", "out", "a"});
    const auto list = [&](const char* id, const std::string& admin, const char* state) {
        fixture.stand_in.control(
            {{"set_instance", {{"id", id}, {"admin", admin}, {"state", state}}}});
    };
    current.revision = 2;
    late.revision = 0;
    list("i1", current.address, "live");
    list("i2", late.address, "live");
    // A closed port: the list still shows an instance that has stopped.
    list("i3", "127.0.0.1:1", "leaving");

    CHECK(fixture.run({"status"}) == exit_code::not_in_force);
    CHECK(fixture.out.str().find("not in force on 1 of 3") != std::string::npos);
    CHECK(fixture.run({"status", "--wait", "--timeout=60"}) == exit_code::done);
    CHECK(fixture.out.str().find("in force on every instance") != std::string::npos);

    list("i3", "127.0.0.1:1", "live");
    CHECK(fixture.run({"--json", "status"}) == exit_code::not_in_force);
    CHECK(fixture.out.str().find("no answer from 127.0.0.1:1") != std::string::npos);

    CHECK(fixture.run({"dump", "i1"}) == exit_code::done);
    CHECK(fixture.run({"dump", "i3"}) == exit_code::unavailable);
    CHECK(fixture.run({"why", "7"}) == exit_code::done);
    CHECK(fixture.out.str().find("i2: {") != std::string::npos);
    CHECK(fixture.err.str().find("no answer from i3") != std::string::npos);
    CHECK(fixture.run({"why", "8"}) == exit_code::not_found);
}
