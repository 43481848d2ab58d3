#pragma once

#include <catkintally/core/table/organisation_row.hpp>

#include <cstddef>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace catkintally::core
{

/// Longest API key, in bytes. Callers' longer ones are refused unread, which bounds the cost of a
/// request with an invalid key.
inline constexpr std::size_t max_api_key_bytes = 512;

/// Finds the organisation that owns an API key. Keys are compared by their SHA-256 digests, so the
/// time of a lookup says nothing about the configured keys and does not depend on the number of
/// organisations.
class organisation_directory
{
public:
    /// A directory for a table without organisations: no keys are required.
    organisation_directory() = default;
    organisation_directory(const organisation_directory&) = delete;
    organisation_directory& operator=(const organisation_directory&) = delete;

    /// Uses the organisations of a new table. Returns false if they are the same as before. Of a
    /// key that two organisations have, the first organisation is the owner.
    bool apply(const std::optional<std::vector<organisation_row>>& organisations);

    /// True if requests on routes that are not public need a key.
    [[nodiscard]] bool requires_keys() const { return rows_.has_value(); }

    /// Returns the owner of the key with this digest, or nullptr. Valid until the next apply().
    [[nodiscard]] const organisation_row* find(std::string_view key_digest) const;

    /// The organisations in force, in table order; empty if no keys are required.
    [[nodiscard]] const std::vector<organisation_row>& rows() const;

private:
    /// Digests are uniformly distributed, so their first bytes are a hash.
    struct digest_hash
    {
        std::size_t operator()(std::string_view digest) const;
    };

    std::optional<std::vector<organisation_row>> rows_;
    /// Owner by digest; both refer to `rows_`.
    std::unordered_map<std::string_view, const organisation_row*, digest_hash> owners_;
};

} // namespace catkintally::core
