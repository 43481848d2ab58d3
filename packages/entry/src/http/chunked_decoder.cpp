#include <catkintally/entry/http/chunked_decoder.hpp>

#include <algorithm>

namespace catkintally::entry
{

namespace
{

/// Largest number of hexadecimal digits of a chunk size; keeps it within 60 bits.
constexpr std::size_t max_size_digits = 15;

/// Bound on all trailer fields of a body, without line ends.
constexpr std::size_t max_trailer_bytes = 8'192;

/// Value of a hexadecimal digit, or 16 for another character.
std::uint64_t hex_digit_value(char c)
{
    if (c >= '0' && c <= '9')
    {
        return static_cast<std::uint64_t>(c - '0');
    }
    const char lower = static_cast<char>(c | 0x20);
    return lower >= 'a' && lower <= 'f' ? static_cast<std::uint64_t>(lower - 'a') + 10 : 16;
}

} // namespace

chunked_decoder::chunked_decoder(std::uint64_t max_bytes, bool allow_trailers)
    : max_bytes_(max_bytes)
    , allow_trailers_(allow_trailers)
{
}

chunked_decoder_state chunked_decoder::decode(std::string_view bytes)
{
    const std::size_t given_size = bytes.size();
    while (!bytes.empty() && state_ == chunked_decoder_state::more)
    {
        if (element_ == element::data)
        {
            const auto count = std::min<std::uint64_t>(chunk_remaining_, bytes.size());
            data_.append(bytes.substr(0, count));
            bytes.remove_prefix(count);
            chunk_remaining_ -= count;
            element_ = chunk_remaining_ == 0 ? element::data_end : element::data;
            continue;
        }
        scan_byte(bytes.front());
        bytes.remove_prefix(1);
    }
    consumed_ = given_size - bytes.size();
    return state_;
}

void chunked_decoder::scan_byte(char c)
{
    switch (element_)
    {
    case element::size:
        scan_size(c);
        break;
    case element::size_end:
        state_ = c == '\n' ? state_ : chunked_decoder_state::malformed;
        element_ = chunk_remaining_ == 0 ? element::trailer : element::data;
        break;
    case element::data_end:
        state_ = c == '\r' ? state_ : chunked_decoder_state::malformed;
        element_ = element::data_end_lf;
        break;
    case element::data_end_lf:
        state_ = c == '\n' ? state_ : chunked_decoder_state::malformed;
        element_ = element::size;
        size_digits_ = 0;
        break;
    case element::trailer:
    case element::trailer_end:
        scan_trailer(c);
        break;
    case element::data:
        break;
    }
}

void chunked_decoder::scan_size(char c)
{
    const std::uint64_t value = hex_digit_value(c);
    if (value < 16 && size_digits_ < max_size_digits)
    {
        chunk_remaining_ = chunk_remaining_ * 16 + value;
        ++size_digits_;
        return;
    }
    if (c != '\r' || size_digits_ == 0)
    {
        state_ = chunked_decoder_state::malformed;
        return;
    }
    declared_bytes_ += chunk_remaining_;
    state_ = declared_bytes_ > max_bytes_ ? chunked_decoder_state::too_large : state_;
    element_ = element::size_end;
}

void chunked_decoder::scan_trailer(char c)
{
    if (element_ == element::trailer_end)
    {
        element_ = element::trailer;
        state_ = c != '\n'                   ? chunked_decoder_state::malformed
                 : trailer_line_length_ == 0 ? chunked_decoder_state::done
                                             : state_;
        trailer_line_length_ = 0;
        return;
    }
    if (c == '\r')
    {
        element_ = element::trailer_end;
        return;
    }
    ++trailer_line_length_;
    if (!allow_trailers_ || c == '\n' || ++trailer_bytes_ > max_trailer_bytes)
    {
        state_ = chunked_decoder_state::malformed;
    }
}

} // namespace catkintally::entry
