#pragma once

#include "support/restorable_store.hpp"

#include <catkintally/core/time/manual_timer_service.hpp>
#include <catkintally/entry/table/configuration_follower.hpp>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace catkintally::entry
{

/// Followers in virtual time that forward updates to each other and pull what they have missed, as
/// gossip_node does, over links of one millisecond.
struct follower_fleet
{
    struct instance
    {
        explicit instance(restorable_store& store)
            : client(store)
        {
        }

        std::string name;
        restorable_store::client client;
        /// False while messages from and to this instance are lost.
        bool linked = true;
        /// What the instance knows of the store from the others, if anything.
        missing_entry_hold_options missing_entries;
        std::shared_ptr<const core::table_snapshot> table;
        /// Configuration versions in the order in which they came into force.
        std::vector<std::uint64_t> applied;
        std::unique_ptr<configuration_follower> follower;

        [[nodiscard]] const core::service_config* desk() const
        {
            const auto found =
                table ? table->services.find("desk") : decltype(table->services.end()){};
            return table && found != table->services.end() ? &found->second : nullptr;
        }

        /// 'i' if the target takes requests, 'd' if it drains, '-' if it is not used.
        [[nodiscard]] char target_state(const std::string& target) const
        {
            for (const auto& each : desk() ? desk()->targets : std::vector<core::target_row>{})
            {
                if (each.name == target)
                {
                    return each.state == core::target_admin_state::in ? 'i' : 'd';
                }
            }
            return '-';
        }
    };

    instance& add(bool reads)
    {
        instances.push_back(std::make_unique<instance>(store));
        instance& added = *instances.back();
        added.name = "i" + std::to_string(instances.size());
        added.follower = std::make_unique<configuration_follower>(configuration_follower_options{
            .store = &added.client,
            .long_watch_store = &added.client,
            .timers = &timers,
            .self = added.name,
            .back_off =
                {.first = std::chrono::milliseconds(100),
                 .limit = std::chrono::milliseconds(400),
                 .seed = instances.size()},
            .publish =
                [&added](auto table)
            {
                added.table = std::move(table);
                const std::uint64_t version = added.follower->version().value_or(0);
                if (added.applied.empty() || added.applied.back() != version)
                {
                    added.applied.push_back(version);
                }
            },
            .updated = [this, &added](const object_update& update) { forward(added, update); },
            .missing_entries =
                {.is_store_away =
                     [&added] {
                         return added.missing_entries.is_store_away &&
                                added.missing_entries.is_store_away();
                     },
                 .last_store_contact =
                     [&added]
                 {
                     return added.missing_entries.last_store_contact
                                ? added.missing_entries.last_store_contact()
                                : std::nullopt;
                 }}});
        if (reads)
        {
            added.follower->set_reading(true);
        }
        exchange_states();
        return added;
    }

    void forward(const instance& from, const object_update& update)
    {
        for (const auto& to : instances)
        {
            if (to.get() != &from)
            {
                send(from, *to, update);
            }
        }
    }

    /// Delivers an update. The receiver pulls everything if it has missed an earlier one.
    void send(const instance& from, instance& to, const object_update& update)
    {
        timers.schedule_after(
            std::chrono::milliseconds(1),
            [this, &from, &to, update]
            {
                if (!from.linked || !to.linked || !to.follower || !from.follower)
                {
                    return;
                }
                const auto result = to.follower->offer(update);
                if (result == update_result::gap)
                {
                    pull(to, from, update.prefix);
                }
                if (result == update_result::applied && update.whole)
                {
                    exchange_states();
                }
            });
    }

    void pull(instance& to, const instance& from, const std::string& prefix)
    {
        const auto whole = from.follower->whole(prefix);
        if (whole)
        {
            send(from, to, *whole);
        }
    }

    /// Every instance pulls what another one knows and it does not.
    void exchange_states()
    {
        for (const auto& from : instances)
        {
            for (const auto& to : instances)
            {
                if (from == to || !from->linked || !to->linked)
                {
                    continue;
                }
                const auto own = to->follower->states();
                for (const auto& [prefix, state] : from->follower->states())
                {
                    const auto found = own.find(prefix);
                    if (found == own.end() || !found->second.covers(state))
                    {
                        pull(*to, *from, prefix);
                    }
                }
            }
        }
    }

    void set_linked(instance& changed, bool linked)
    {
        changed.linked = linked;
        exchange_states();
    }

    void pass(core::duration time)
    {
        for (const auto end = timers.now() + time; timers.now() < end;)
        {
            timers.advance(std::chrono::milliseconds(1));
        }
    }

    /// The store is away and returns from its copy.
    void drill(core::duration away = std::chrono::seconds(1))
    {
        store.go_away();
        pass(away);
        store.return_from_copy();
    }

    core::manual_timer_service timers;
    restorable_store store{timers};
    std::vector<std::unique_ptr<instance>> instances;
};

} // namespace catkintally::entry
