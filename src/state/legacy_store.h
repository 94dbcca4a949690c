#pragma once
// Reads a store of before the slots: fresh.mdb was written, synced and renamed over state.mdb,
// without a checksum of the file. Nothing writes such a store any more. For one thread at a time.
#include <array>
#include <string>

#include "state/file_system.h"
#include "state/persistent_state.h"

namespace saddlewing {

/** The files of such a store. After a loss of power in the renaming either may be there, and a
    removed fresh.mdb may be back. */
inline constexpr std::array<const char*, 2> legacy_file_names = {"/state.mdb", "/fresh.mdb"};

/** Loads the newer record of the two files. */
LoadResult load_legacy_record(const FileSystem& file_system, const std::string& folder);

}  // namespace saddlewing
