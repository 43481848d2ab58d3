#include <catkintally/ctl/command/command_line.hpp>

#include <catkintally/ctl/command/fleet_commands.hpp>
#include <catkintally/ctl/command/table_commands.hpp>
#include <catkintally/platform/store/http_object_store.hpp>
#include <catkintally/runtime/time/run_until.hpp>

#include <docopt/docopt.h>

#include <cstdlib>
#include <fstream>
#include <sstream>

namespace catkintally::ctl
{

namespace
{

constexpr const char* usage =
    R"(Shows and edits the table of a catkintally fleet, and asks its instances.

Usage:
  catkintallyctl [options] table
  catkintallyctl [options] export [FILE]
  catkintallyctl [options] apply FILE [--dry-run] [--prune]
  catkintallyctl [options] set KIND NAME ASSIGNMENT... [--create]
  catkintallyctl [options] domain (in | out) NAME
  catkintallyctl [options] target (drain | undrain) SERVICE NAME
  catkintallyctl [options] status [--wait] [--timeout=S]
  catkintallyctl [options] dump INSTANCE
  catkintallyctl [options] why ID
  catkintallyctl (-h | --help)

Options:
  --store=LIST  Addresses of the platform's API as IP:PORT, separated by commas. The default is
                the environment variable CATKINTALLY_STORE.
  --json        Print results as JSON.
  --dry-run     Show what the file changes and check it, but write nothing.
  --prune       Also remove the rows that the file does not have.
  --create      Add the row if it does not exist.
  --wait        Wait until the revision is in force on every instance.
  --timeout=S   Seconds to wait for that [default: 10].

KIND is domain, service or target; the NAME of a target is SERVICE/TARGET. An ASSIGNMENT is
COLUMN=VALUE; lists are separated by spaces.

Exit codes: 0 done, 1 file error, 2 wrong usage, 3 invalid values (nothing written), 4 conflict with
another operator (not overwritten), 5 the platform's API or the instance does not answer, 6 unknown
whether a write took effect, 7 revision not in force everywhere, 8 no such row, instance or request,
9 stored, but the table as a whole is not correct.
)";

using arguments_map = std::map<std::string, docopt::value>;

std::string text_of(const arguments_map& arguments, const char* name)
{
    const auto& value = arguments.at(name);
    return value.isString() ? value.asString() : "";
}

bool flag(const arguments_map& arguments, const char* name)
{
    return arguments.at(name).asBool();
}

std::optional<std::vector<core::endpoint>> store_addresses(const arguments_map& arguments)
{
    std::string list = text_of(arguments, "--store");
    const char* environment = std::getenv("CATKINTALLY_STORE");
    if (list.empty() && environment != nullptr)
    {
        list = environment;
    }
    std::vector<core::endpoint> addresses;
    std::istringstream parts(list);
    for (std::string part; std::getline(parts, part, ',');)
    {
        auto address = core::parse_endpoint(part);
        if (!address)
        {
            return std::nullopt;
        }
        addresses.push_back(std::move(*address));
    }
    return addresses.empty() ? std::nullopt : std::optional(addresses);
}

/// One run of the program: the clients and the calls of its command.
class command_run
{
public:
    command_run(
        const arguments_map& arguments,
        std::vector<core::endpoint> addresses,
        runtime::event_loop& loop,
        core::timer_service& timers,
        console console)
        : arguments_(arguments)
        , loop_(loop)
        , timers_(timers)
        , console_(console)
        // A person waits for each call, and a large file has many rows, so the bounds of an
        // instance do not apply; the API's own rates do.
        , api_(
              loop,
              timers,
              {.addresses = std::move(addresses), .reads_per_s = 0, .writes_per_s = 100})
        , store_(api_)
        , directory_(store_)
        , client_(loop, timers)
        , calls_(make_store_calls(store_, loop, timers))
    {
    }

    exit_code run()
    {
        const auto is = [&](const char* name) { return flag(arguments_, name); };
        if (is("status") || is("dump") || is("why"))
        {
            return run_fleet_command();
        }
        table_commands commands(calls_, console_);
        if (is("table"))
        {
            return commands.table();
        }
        if (is("export"))
        {
            return export_file(commands);
        }
        if (is("apply"))
        {
            return apply_file(commands);
        }
        if (is("set"))
        {
            return commands.set(
                text_of(arguments_, "KIND"), text_of(arguments_, "NAME"),
                arguments_.at("ASSIGNMENT").asStringList(), is("--create"));
        }
        if (is("domain"))
        {
            return commands.set_state(
                {.kind = row_kind::domain, .name = text_of(arguments_, "NAME")},
                is("out") ? "out" : "in");
        }
        return commands.set_state(
            {.kind = row_kind::target,
             .service = text_of(arguments_, "SERVICE"),
             .name = text_of(arguments_, "NAME")},
            is("drain") ? "draining" : "in");
    }

private:
    exit_code file_error(const std::string& file)
    {
        console_.err << "catkintallyctl: cannot read or write " << file << '\n';
        return exit_code::file_error;
    }

    exit_code export_file(table_commands& commands)
    {
        std::string csv;
        const auto code = commands.export_csv(csv);
        const auto file = text_of(arguments_, "FILE");
        if (code != exit_code::done || file.empty())
        {
            console_.out << csv;
            return code;
        }
        std::ofstream stream(file);
        stream << csv << std::flush;
        return stream ? exit_code::done : file_error(file);
    }

    exit_code apply_file(table_commands& commands)
    {
        const auto file = text_of(arguments_, "FILE");
        std::ifstream stream(file);
        std::stringstream content;
        content << stream.rdbuf();
        if (!stream)
        {
            return file_error(file);
        }
        return commands.apply(
            file, content.str(), flag(arguments_, "--dry-run"), flag(arguments_, "--prune"));
    }

    exit_code run_fleet_command()
    {
        const auto limit = core::duration(std::chrono::seconds(wait_seconds_));
        const auto end = timers_.now() + limit;
        fleet_commands commands(
            {.list_instances = [this] { return list_instances(); },
             .ask = [this](const auto& addresses, const auto& target)
             { return ask(addresses, target); },
             .table_revision = [this] { return table_revision(); },
             .keep_waiting =
                 [this, end]
             {
                 const auto pause = std::chrono::milliseconds(200);
                 runtime::run_until(
                     loop_, timers_, [] { return false; }, pause);
                 return timers_.now() < end;
             }},
            console_);
        if (flag(arguments_, "status"))
        {
            return commands.status(flag(arguments_, "--wait"));
        }
        return flag(arguments_, "dump") ? commands.dump(text_of(arguments_, "INSTANCE"))
                                        : commands.why(text_of(arguments_, "ID"));
    }

    std::optional<std::vector<platform::listed_instance>> list_instances()
    {
        std::optional<core::store_status> status;
        std::vector<platform::listed_instance> listed;
        directory_.list(
            [&](core::store_status answer, std::vector<platform::listed_instance> found)
            {
                status = answer;
                listed = std::move(found);
            });
        runtime::run_until(
            loop_, timers_, [&] { return status.has_value(); }, call_limit);
        return status == core::store_status::ok ? std::optional(listed) : std::nullopt;
    }

    std::vector<runtime::http_response>
    ask(const std::vector<std::string>& addresses, const std::string& target)
    {
        std::vector<runtime::http_response> answers(addresses.size());
        std::size_t waiting = 0;
        for (std::size_t i = 0; i < addresses.size(); ++i)
        {
            const auto address = core::parse_endpoint(addresses[i]);
            if (!address)
            {
                continue;
            }
            ++waiting;
            client_.call(
                {.address = *address, .target = target, .idempotent = true},
                [&, i](runtime::http_response answer)
                {
                    answers[i] = std::move(answer);
                    --waiting;
                });
        }
        runtime::run_until(
            loop_, timers_, [&] { return waiting == 0; }, call_limit);
        return answers;
    }

    std::optional<std::uint64_t> table_revision()
    {
        std::vector<core::table_error> errors;
        const auto document = table_writer(calls_).load(errors);
        return document ? std::optional(document->revision()) : std::nullopt;
    }

public:
    /// Reads the numeric options; false if one is not a number.
    bool read_numbers()
    {
        std::istringstream text(text_of(arguments_, "--timeout"));
        return (text >> wait_seconds_) && text.eof();
    }

private:
    /// Longer than the deadline of any single call.
    static constexpr auto call_limit = std::chrono::minutes(1);

    const arguments_map& arguments_;
    runtime::event_loop& loop_;
    core::timer_service& timers_;
    console console_;
    platform::platform_api api_;
    platform::http_object_store store_;
    platform::instance_directory directory_;
    runtime::http_client client_;
    store_calls calls_;
    std::uint32_t wait_seconds_ = 0;
};

} // namespace

exit_code run_command_line(
    const std::vector<std::string>& arguments,
    runtime::event_loop& loop,
    core::timer_service& timers,
    std::ostream& out,
    std::ostream& err)
{
    arguments_map parsed;
    try
    {
        parsed = docopt::docopt_parse(usage, arguments, true, false);
    }
    catch (const docopt::DocoptExitHelp&)
    {
        out << usage;
        return exit_code::done;
    }
    catch (const docopt::DocoptArgumentError& wrong)
    {
        err << "catkintallyctl: " << wrong.what() << "\nSee catkintallyctl --help.\n";
        return exit_code::usage;
    }
    auto addresses = store_addresses(parsed);
    if (!addresses)
    {
        err << "catkintallyctl: give the platform's addresses as IP:PORT with --store or "
               "CATKINTALLY_STORE\n";
        return exit_code::usage;
    }
    command_run command(
        parsed, std::move(*addresses), loop, timers,
        {.out = out, .err = err, .json = flag(parsed, "--json")});
    if (!command.read_numbers())
    {
        err << "catkintallyctl: --timeout must be a whole number of seconds\n";
        return exit_code::usage;
    }
    return command.run();
}

} // namespace catkintally::ctl
