/// Reads and writes unsigned integers in network byte order; the buffer need not be aligned.
#pragma once

#include <cstddef>
#include <cstdint>

namespace oriolelever {

inline std::uint16_t read16(const std::uint8_t *in)
{
    return static_cast<std::uint16_t>((in[0] << 8) | in[1]);
}

inline std::uint32_t read32(const std::uint8_t *in)
{
    return (std::uint32_t{read16(in)} << 16) | read16(in + 2);
}

inline std::uint64_t read64(const std::uint8_t *in)
{
    return (std::uint64_t{read32(in)} << 32) | read32(in + 4);
}

inline void write16(std::uint8_t *out, std::uint16_t value)
{
    out[0] = static_cast<std::uint8_t>(value >> 8);
    out[1] = static_cast<std::uint8_t>(value);
}

inline void write32(std::uint8_t *out, std::uint32_t value)
{
    write16(out, static_cast<std::uint16_t>(value >> 16));
    write16(out + 2, static_cast<std::uint16_t>(value));
}

inline void write64(std::uint8_t *out, std::uint64_t value)
{
    write32(out, static_cast<std::uint32_t>(value >> 32));
    write32(out + 4, static_cast<std::uint32_t>(value));
}

} // namespace oriolelever
