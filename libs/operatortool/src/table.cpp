#include "table.h"

#include <algorithm>
#include <ostream>

namespace fescuespring {

namespace {

constexpr std::size_t columnGap = 2;

} // namespace

Table::Table(std::vector<std::string> headings)
{
    m_rows.push_back(std::move(headings));
}

void Table::add(std::vector<std::string> cells)
{
    cells.resize(m_rows.front().size());
    m_rows.push_back(std::move(cells));
}

void Table::print(std::ostream &out) const
{
    if (m_rows.size() == 1)
        return;
    const std::vector<std::size_t> columns = widths();
    for (const std::vector<std::string> &row : m_rows) {
        std::string line;
        for (std::size_t i = 0; i < row.size(); ++i) {
            line += row[i];
            line.append(columns[i] - row[i].size() + columnGap, ' ');
        }
        line.erase(line.find_last_not_of(' ') + 1);
        out << line << '\n';
    }
}

std::vector<std::size_t> Table::widths() const
{
    std::vector<std::size_t> columns(m_rows.front().size());
    for (const std::vector<std::string> &row : m_rows) {
        for (std::size_t i = 0; i < row.size(); ++i)
            columns[i] = std::max(columns[i], row[i].size());
    }
    return columns;
}

} // namespace fescuespring
