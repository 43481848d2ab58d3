#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

namespace catkintally::entry
{

/// Progress of a chunked body, or why it is refused.
enum class chunked_decoder_state : std::uint8_t
{
    more,
    done,
    malformed,
    too_large
};

/// Strict incremental decoder of the chunked transfer coding. Refuses chunk data without a CRLF
/// after it, lines that end in a bare LF and chunk extensions. HTTP libraries are more lenient,
/// each in its own way; the next hop reads a body that passes here in the same way.
class chunked_decoder
{
public:
    /// `max_bytes` limits the decoded data; `allow_trailers` accepts trailer fields after the last
    /// chunk.
    chunked_decoder(std::uint64_t max_bytes, bool allow_trailers);

    /// Decodes the next bytes; bytes after the end of the body are not consumed.
    chunked_decoder_state decode(std::string_view bytes);

    /// Number of bytes that the last call consumed.
    [[nodiscard]] std::size_t consumed() const { return consumed_; }

    /// Size of the data decoded so far, in bytes.
    [[nodiscard]] std::size_t data_size() const { return data_.size(); }

    /// Moves out the data decoded so far.
    [[nodiscard]] std::string take_data() { return std::move(data_); }

private:
    /// Element of the chunked syntax that the next byte belongs to.
    enum class element : std::uint8_t
    {
        size,
        size_end,
        data,
        data_end,
        data_end_lf,
        trailer,
        trailer_end
    };

    void scan_byte(char c);
    void scan_size(char c);
    void scan_trailer(char c);

    std::uint64_t max_bytes_;
    bool allow_trailers_;
    std::size_t consumed_ = 0;
    std::string data_;
    chunked_decoder_state state_ = chunked_decoder_state::more;
    element element_ = element::size;
    /// Size of the current chunk, then the part of it that is still to be read.
    std::uint64_t chunk_remaining_ = 0;
    std::size_t size_digits_ = 0;
    /// Sum of the chunk sizes read so far.
    std::uint64_t declared_bytes_ = 0;
    /// Length of the current trailer line and of all trailers.
    std::size_t trailer_line_length_ = 0;
    std::size_t trailer_bytes_ = 0;
};

} // namespace catkintally::entry
