#include <catkintally/entry/http/http_head.hpp>
#include <catkintally/entry/http/response_check.hpp>

#include <array>
#include <cstddef>

namespace catkintally::entry
{

std::string_view verdict_name(response_verdict verdict)
{
    constexpr auto names = std::to_array<std::string_view>(
        {"final_head", "final_chunked", "interim", "malformed", "conflicting_length",
         "length_with_encoding", "unknown_encoding", "close_delimited", "unexpected_upgrade"});
    return names.at(static_cast<std::size_t>(verdict));
}

response_verdict check_response_head(std::string_view text, bool head_request)
{
    const auto head = parse_http_head(text);
    if (!head)
    {
        return response_verdict::malformed;
    }

    // Status line: "HTTP/1.0 NNN" or "HTTP/1.1 NNN", and an optional reason phrase.
    const std::string_view line = head->start_line;
    const bool is_known_version = line.starts_with("HTTP/1.1 ") || line.starts_with("HTTP/1.0 ");
    const auto status = is_known_version ? parse_number(line.substr(9, 3)) : std::nullopt;
    if (!status || *status < 100 || *status > 599 || (line.size() > 12 && line[12] != ' '))
    {
        return response_verdict::malformed;
    }
    if (*status == 101)
    {
        return response_verdict::unexpected_upgrade;
    }
    if (*status < 200)
    {
        return response_verdict::interim;
    }

    // The end of the body must be determined before the body is read.
    const body_framing framing = framing_of(head->fields);
    if (framing.lengths > 1 || (framing.lengths == 1 && !framing.length))
    {
        return response_verdict::conflicting_length;
    }
    if (framing.lengths > 0 && framing.encodings > 0)
    {
        return response_verdict::length_with_encoding;
    }
    if (framing.encodings > 1 || (framing.encodings == 1 && !framing.chunked))
    {
        return response_verdict::unknown_encoding;
    }
    const bool has_no_body = head_request || *status == 204 || *status == 304;
    if (!has_no_body && framing.lengths == 0 && framing.encodings == 0)
    {
        return response_verdict::close_delimited;
    }
    return framing.chunked && !has_no_body ? response_verdict::final_chunked
                                           : response_verdict::final_head;
}

} // namespace catkintally::entry
