/// @file
/// Conversion between host ids and names of marker files. The format is fixed: processes of earlier
/// versions read and write the same files.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace gateway::admin {

/// The file name of an id: "host-" and the id, in which each byte other than an ASCII letter, a
/// digit, '-' or '_' is written as %xx in lower case.
std::string file_name_of(std::string_view id);

/// The id of a file name; empty for a name that file_name_of() never returns.
std::optional<std::string> id_of_file_name(std::string_view name);

}  // namespace gateway::admin
