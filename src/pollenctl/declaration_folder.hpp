// Reads a folder of declarations, such as a checkout from version control.

#pragma once

#include <pollenhall/declarations.hpp>
#include <pollenhall/findings.hpp>

#include <string>
#include <vector>

namespace pollenhall
{

/// Reads all files below `path`, sorted by path. Files that cannot be read are
/// reported to `findings`. Files and folders whose names start with a dot are
/// skipped.
std::vector<declaration_file> read_folder(std::string const& path,
                                          finding_list& findings);

} // namespace pollenhall
