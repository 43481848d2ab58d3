#pragma once

#include <catkintally/core/admission/local_gateway.hpp>
#include <catkintally/core/fleet/fleet_node.hpp>
#include <catkintally/entry/instance.hpp>
#include <catkintally/entry/peers/peer_network.hpp>
#include <catkintally/entry/process/decision_journal.hpp>
#include <catkintally/entry/process/target_prober.hpp>
#include <catkintally/entry/table/table_watcher.hpp>
#include <catkintally/platform/store/http_object_store.hpp>
#include <catkintally/platform/store/instance_directory.hpp>
#include <catkintally/runtime/generated/settings.generated.hpp>

#include <functional>
#include <memory>
#include <optional>

namespace catkintally::entry
{

/// One whole entry instance: the HTTP path, the fleet node, the links to other instances, and the
/// platform's store. The parts know each other only through hooks, which this class connects.
class instance_process
{
public:
    /// `loop` and `timers` must outlive this object.
    instance_process(
        runtime::event_loop& loop, core::timer_service& timers, const runtime::settings& values);

    /// Binds the addresses and joins the fleet; false, with an event, if an address is not free.
    [[nodiscard]] bool start();

    /// Planned stop; `stopped` is called when the process may exit.
    void stop(std::function<void()> stopped);

private:
    [[nodiscard]] core::fleet_node_options node_options();
    [[nodiscard]] peer_network_options peer_options();
    [[nodiscard]] instance_hooks hooks();
    [[nodiscard]] core::admission_gateway choose_gateway();
    /// Checks the health of one target for the fleet node; ignored if the table does not list it.
    void probe(const std::string& service, const std::string& target);
    void use_table(const std::shared_ptr<const core::table_snapshot>& table);
    void offer_table(std::uint64_t revision, std::vector<wire::table_object_data> objects);
    [[nodiscard]] std::vector<wire::table_object_data> table_objects() const;
    void announce();
    void add_dump();
    void add_metrics();

    runtime::event_loop& loop_;
    core::timer_service& timers_;
    const runtime::settings settings_;
    core::member self_;
    std::uint64_t seed_;
    platform::platform_api api_;
    platform::http_object_store store_;
    platform::instance_directory directory_;
    table_watcher watcher_;
    peer_network peers_;
    core::target_dialect dialect_;
    target_prober prober_;
    std::shared_ptr<const core::table_snapshot> table_;
    core::fleet_node node_;
    std::unique_ptr<core::local_gateway> local_;
    decision_journal journal_;
    instance instance_;
    /// The HTTP path has ended and waits for the removal from the view.
    std::function<void()> removal_hook_;
    bool may_leave_view_ = false;
    bool left_view_ = false;
};

} // namespace catkintally::entry
