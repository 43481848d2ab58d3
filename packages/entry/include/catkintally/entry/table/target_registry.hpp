#pragma once

#include <catkintally/core/store/object_store.hpp>
#include <catkintally/core/table/configuration.hpp>
#include <catkintally/core/time/timer_service.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace catkintally::entry
{

/// Fixed inputs of a target_registry.
struct target_registry_options
{
    /// Decodes a registration; returns nothing if the object cannot be used.
    std::function<std::optional<core::target_registration>(const core::store_object&)> decode;
};

/// Tracks the targets that register themselves. Late entries of an earlier incarnation, or of an
/// earlier state of the same one, are not applied; nor are entries of removed targets that a store
/// lists again because it has returned from an older copy.
class target_registry
{
public:
    explicit target_registry(target_registry_options options);

    /// Applies the objects that the store holds now, in `era`. Targets whose entries are found
    /// missing stay in use until `hold_until` (see missing_entry_hold), unless they were draining.
    /// An object that cannot be used leaves the target as it was. Returns when to call again, if
    /// entries are kept.
    std::optional<core::time_point> apply(
        const std::map<std::string, core::store_object>& objects,
        std::uint64_t era,
        core::time_point now,
        core::time_point hold_until);

    /// The targets in use or draining, by name.
    [[nodiscard]] std::map<std::string, const core::target_registration*> targets() const;

private:
    struct entry
    {
        core::target_registration registration;
        /// Position of the last object examined; its era is the last one in which the object was
        /// known to be missing, if that is later.
        core::store_position seen;
        /// The store holds the object.
        bool listed = false;
        /// The newest object cannot be used.
        bool unusable = false;
        /// The store holds only an outdated object of a target that has been removed.
        bool outdated = false;
        /// Once it is no longer listed: until when it is still used.
        std::optional<core::time_point> kept_until;
        /// Once it is no longer used: until when its start and sequence numbers are kept.
        std::optional<core::time_point> remembered_until;
    };

    void apply_object(const core::store_object& object, bool log_additions);
    [[nodiscard]] static bool is_used(const entry& checked);
    /// True if the target was removed, and the object is the one known before, or an older one.
    [[nodiscard]] static bool
    is_from_copy(const entry& known, const core::store_object& object, bool newer_state);

    target_registry_options options_;
    /// By object key.
    std::map<std::string, entry> entries_;
    /// Positions of the objects that cannot be used and name no known target, by key. They are not
    /// decoded again.
    std::map<std::string, core::store_position> refused_;
};

} // namespace catkintally::entry
