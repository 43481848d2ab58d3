#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

namespace catkintally::entry
{

/// Where a chunked body stands.
enum class chunk_state : std::uint8_t
{
    more,
    done,
    malformed,
    too_large
};

/// Reads a chunked body and is strict: data without the line end behind it, lines that end in a
/// bare LF and chunk extensions are refused. Libraries are more lenient, each in its own way, so a
/// body that this one accepts is read alike by the next hop.
class chunk_scanner
{
public:
    /// `max_bytes` bounds the data, `trailers` allows fields after the last chunk.
    chunk_scanner(std::uint64_t max_bytes, bool trailers);

    /// Takes the next bytes; what follows the end of the body is left.
    chunk_state scan(std::string_view bytes);

    /// Bytes that the last scan() has taken.
    [[nodiscard]] std::size_t used() const { return used_; }

    /// Size of the data so far.
    [[nodiscard]] std::size_t data_size() const { return data_.size(); }

    /// The data so far; empty afterwards.
    [[nodiscard]] std::string take_data() { return std::move(data_); }

private:
    enum class part : std::uint8_t
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
    bool trailers_;
    std::size_t used_ = 0;
    std::string data_;
    chunk_state state_ = chunk_state::more;
    part part_ = part::size;
    std::uint64_t size_ = 0;
    std::size_t digits_ = 0;
    std::uint64_t total_ = 0;
    /// Length of the current trailer line and of all trailers.
    std::size_t line_ = 0;
    std::size_t trailer_bytes_ = 0;
};

} // namespace catkintally::entry
