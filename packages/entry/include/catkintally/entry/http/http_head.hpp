#pragma once

#include <catkintally/core/targets/target_dialect.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace catkintally::entry
{

using core::header_list;

/// Start line and header fields of an HTTP/1 message.
struct http_head
{
    std::string start_line;
    header_list fields;
};

/// Framing of a message body as declared by the header fields.
struct body_framing
{
    /// Number of Content-Length fields, and the value of the last; empty if it isn't a plain
    /// number.
    std::size_t content_length_count = 0;
    std::optional<std::uint64_t> length;
    /// Number of Transfer-Encoding fields, and whether the last is exactly "chunked".
    std::size_t transfer_encoding_count = 0;
    bool chunked = false;
};

/// Parses a head including its empty last line. Returns nothing for a bare CR or LF, a folded line,
/// a field name that is not a token or a control character in a value: parsers disagree about
/// these, so the next hop could read such a message differently.
[[nodiscard]] std::optional<http_head> parse_http_head(std::string_view text);

/// Offset of the first byte after the first empty line, or npos while the head is incomplete. Line
/// ends before `from` are not looked at.
[[nodiscard]] std::size_t find_head_end(std::string_view text, std::size_t from = 0);

/// Reads the framing fields. A Content-Length that is not a plain decimal number is counted but has
/// no value.
[[nodiscard]] body_framing parse_body_framing(const header_list& fields);

/// True if the connection can be reused after a message with these fields.
[[nodiscard]] bool allows_keep_alive(const header_list& fields, bool is_http_1_1);

/// True if the comma-separated field value, such as that of Connection, contains the name `wanted`.
/// ASCII letters match in either case.
[[nodiscard]] bool list_contains_token(std::string_view value, std::string_view wanted);

/// Compares two texts, ASCII letters without regard to case.
[[nodiscard]] bool equals_ignore_case(std::string_view left, std::string_view right);

/// Value of the first field with this name, or nullptr.
[[nodiscard]] const std::string* find_field(const header_list& fields, std::string_view name);

/// True if `name` is a token as HTTP defines it.
[[nodiscard]] bool is_token(std::string_view name);

/// Text without leading and trailing spaces and tabs.
[[nodiscard]] std::string_view trimmed(std::string_view text);

/// Parses an unsigned decimal number; nothing if the text holds anything else.
[[nodiscard]] std::optional<std::uint64_t> parse_number(std::string_view text);

} // namespace catkintally::entry
