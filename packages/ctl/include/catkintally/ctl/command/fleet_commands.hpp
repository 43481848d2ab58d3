#pragma once

#include <catkintally/ctl/command/console.hpp>
#include <catkintally/ctl/command/exit_code.hpp>
#include <catkintally/ctl/table/store_calls.hpp>
#include <catkintally/platform/store/instance_directory.hpp>
#include <catkintally/runtime/http/http_exchange.hpp>

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace catkintally::ctl
{

/// What the commands that ask instances need.
struct fleet_calls
{
    /// The platform's list of instances; nothing if the API does not answer.
    std::function<std::optional<std::vector<platform::listed_instance>>()> list_instances;
    /// Sends GET `target` to all admin addresses at the same time; answers in their order.
    std::function<std::vector<runtime::http_response>(
        const std::vector<std::string>& admin_addresses, const std::string& target)>
        ask;
    /// Revision of the table in the store; nothing if the API does not answer.
    std::function<std::optional<std::uint64_t>()> table_revision;
    /// Waits before the next look; false once the time for waiting has passed.
    std::function<bool()> keep_waiting;
};

/// The commands that ask running instances.
class fleet_commands
{
public:
    fleet_commands(fleet_calls calls, console console)
        : calls_(std::move(calls))
        , console_(console)
    {
    }

    /// Shows whether the store's revision is in force on every instance, and who is behind. With
    /// `wait`, looks again until it is or the time has passed.
    exit_code status(bool wait);

    /// Prints one instance's state.
    exit_code dump(const std::string& instance);

    /// Prints what the instances know about a request.
    exit_code why(const std::string& request_id);

private:
    struct instance_status;

    std::vector<instance_status>
    look(const std::vector<platform::listed_instance>& listed, std::uint64_t wanted);
    void print_status(std::uint64_t wanted, const std::vector<instance_status>& all, bool in_force);
    exit_code fail(exit_code code, const std::string& message);

    fleet_calls calls_;
    console console_;
};

} // namespace catkintally::ctl
