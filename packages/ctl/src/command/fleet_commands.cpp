#include <catkintally/ctl/command/fleet_commands.hpp>

#include <catkintally/platform/store/platform_api.hpp>

#include <algorithm>

namespace catkintally::ctl
{

namespace json = boost::json;
using platform::listed_instance;

namespace
{

bool is_good(const runtime::http_response& response)
{
    return response.outcome == runtime::http_outcome::answered && response.status == 200;
}

/// Revision in an instance's dump, member table.revision.
std::optional<std::uint64_t> revision_in(const std::string& dump)
{
    try
    {
        return json::parse(dump).at("table").at("revision").to_number<std::uint64_t>();
    }
    catch (const std::exception&)
    {
        return std::nullopt;
    }
}

std::vector<std::string> admin_addresses(const std::vector<listed_instance>& listed)
{
    std::vector<std::string> addresses;
    addresses.reserve(listed.size());
    for (const auto& each : listed)
    {
        addresses.push_back(each.admin);
    }
    return addresses;
}

} // namespace

/// What one instance says about its table.
struct fleet_commands::instance_status
{
    listed_instance instance;
    std::optional<std::uint64_t> revision;
    std::string problem;
    bool in_force = false;
};

exit_code fleet_commands::fail(exit_code code, const std::string& message)
{
    console_.err << "catkintallyctl: " << message << '\n';
    if (console_.json)
    {
        console_.out << json::serialize(json::object{{"error", message}}) << '\n';
    }
    return code;
}

std::vector<fleet_commands::instance_status>
fleet_commands::look(const std::vector<listed_instance>& listed, std::uint64_t wanted)
{
    const auto answers = calls_.ask(admin_addresses(listed), "/dump");
    std::vector<instance_status> all;
    for (std::size_t i = 0; i < listed.size(); ++i)
    {
        instance_status status{.instance = listed[i], .revision = std::nullopt, .problem = ""};
        if (listed[i].admin.empty())
        {
            status.problem = "has no admin address in the platform's list";
        }
        else if (!is_good(answers[i]))
        {
            status.problem = "no answer from " + listed[i].admin;
        }
        else
        {
            status.revision = revision_in(answers[i].body);
            status.problem = status.revision ? "" : "has no table yet";
        }
        // The list lags, so an instance that is leaving and does not answer has stopped.
        const bool stopped = listed[i].leaving && !listed[i].admin.empty() && !is_good(answers[i]);
        status.in_force = stopped || (status.revision && *status.revision >= wanted);
        all.push_back(std::move(status));
    }
    return all;
}

exit_code fleet_commands::status(bool wait)
{
    const auto wanted = calls_.table_revision();
    if (!wanted)
    {
        return fail(exit_code::unavailable, "the platform's API does not answer");
    }
    while (true)
    {
        const auto listed = calls_.list_instances();
        std::vector<instance_status> all;
        if (listed)
        {
            all = look(*listed, *wanted);
        }
        // An empty list proves nothing.
        const bool in_force =
            !all.empty() &&
            std::all_of(
                all.begin(), all.end(), [](const instance_status& each) { return each.in_force; });
        if (in_force || !wait || !calls_.keep_waiting())
        {
            if (!listed)
            {
                return fail(exit_code::unavailable, "the platform's instance list is unavailable");
            }
            print_status(*wanted, all, in_force);
            return in_force ? exit_code::done : exit_code::not_in_force;
        }
    }
}

void fleet_commands::print_status(
    std::uint64_t wanted, const std::vector<instance_status>& all, bool in_force)
{
    std::vector<std::vector<std::string>> lines = {
        {"instance", "domain", "state", "revision", "table"}};
    json::array instances;
    std::size_t behind = 0;
    for (const auto& each : all)
    {
        const auto revision = each.revision ? std::to_string(*each.revision) : "-";
        const std::string verdict = each.in_force          ? "in force"
                                    : each.problem.empty() ? "behind"
                                                           : each.problem;
        behind += each.in_force ? 0 : 1;
        lines.push_back(
            {each.instance.id, each.instance.domain, each.instance.leaving ? "leaving" : "live",
             revision, verdict});
        instances.push_back(json::object{
            {"id", each.instance.id},
            {"domain", each.instance.domain},
            {"leaving", each.instance.leaving},
            {"revision", each.revision ? json::value(*each.revision) : json::value()},
            {"in_force", each.in_force},
            {"problem", each.problem}});
    }
    if (console_.json)
    {
        console_.out << json::serialize(json::object{
                            {"revision", wanted},
                            {"in_force", in_force},
                            {"instances", std::move(instances)}})
                     << '\n';
        return;
    }
    console_.out << align(lines) << "revision " << wanted
                 << (in_force      ? " is in force on every instance"
                     : all.empty() ? ": the platform lists no instance"
                                   : " is not in force on " + std::to_string(behind) + " of " +
                                         std::to_string(all.size()) + " instances")
                 << '\n';
}

exit_code fleet_commands::dump(const std::string& instance)
{
    const auto listed = calls_.list_instances();
    if (!listed)
    {
        return fail(exit_code::unavailable, "the platform's instance list is unavailable");
    }
    const auto found = std::find_if(
        listed->begin(), listed->end(),
        [&](const listed_instance& each) { return each.id == instance; });
    if (found == listed->end())
    {
        return fail(exit_code::not_found, "the platform lists no instance '" + instance + '\'');
    }
    const auto answer = calls_.ask({found->admin}, "/dump").front();
    if (!is_good(answer))
    {
        return fail(exit_code::unavailable, "no answer from " + instance + " at " + found->admin);
    }
    console_.out << answer.body << '\n';
    return exit_code::done;
}

exit_code fleet_commands::why(const std::string& request_id)
{
    const auto listed = calls_.list_instances();
    if (!listed)
    {
        return fail(exit_code::unavailable, "the platform's instance list is unavailable");
    }
    const auto answers =
        calls_.ask(admin_addresses(*listed), "/why?id=" + platform::percent_encode(request_id));
    json::object known;
    for (std::size_t i = 0; i < answers.size(); ++i)
    {
        const auto& id = (*listed)[i].id;
        if (is_good(answers[i]))
        {
            boost::system::error_code error;
            const auto parsed = json::parse(answers[i].body, error);
            known[id] = error ? json::value(answers[i].body) : parsed;
        }
        else if (answers[i].outcome != runtime::http_outcome::answered)
        {
            console_.err << "catkintallyctl: no answer from " << id
                         << ", which may know the request\n";
        }
    }
    if (known.empty())
    {
        return fail(exit_code::not_found, "no instance knows request " + request_id);
    }
    if (console_.json)
    {
        console_.out << json::serialize(known) << '\n';
        return exit_code::done;
    }
    for (const auto& [id, answer] : known)
    {
        console_.out << id << ": " << json::serialize(answer) << '\n';
    }
    return exit_code::done;
}

} // namespace catkintally::ctl
