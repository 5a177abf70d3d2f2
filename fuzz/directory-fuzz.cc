// Codec of the messages between agents; what decodes must encode to the same.
#include <cstdlib>

#include "oriolelever/directory-codec.h"

using namespace oriolelever;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string_view bytes(reinterpret_cast<const char *>(data), size);
    handleError(
        [&]() -> Result<bool> {
            BOOST_LEAF_AUTO(message, decodeDirectoryMessage(bytes));
            BOOST_LEAF_AUTO(again, decodeDirectoryMessage(encodeDirectoryMessage(message)));
            if (again != message) {
                std::abort();
            }
            return true;
        },
        [](const Error &) { return false; });
    return 0;
}
