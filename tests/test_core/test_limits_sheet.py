"""Tests of the CSV form of the table of weights and limits."""

import testtools

from wisterialug_core.decisions import config_state, limits_sheet

GOOD = """customer,kind,name,weight,max_in_flight
siam,customer,siam,300,
siam,service,dispatch,,10
"""


def _state(text):
    state = config_state.ConfigState()
    changes = limits_sheet.diff(
        limits_sheet.Sheet({}), limits_sheet.parse(text).ok_value
    )
    rows = limits_sheet.changed_rows(state, changes).ok_value
    state.apply(config_state.next_delta(state, rows))
    return state


class ParseTest(testtools.TestCase):
    def test_faults_name_row_column_and_value(self):
        cases = [
            ("siam,customer,siam,0,", "weight", "0"),
            ("siam,customer,siam,x,", "weight", "x"),
            ("siam,customer,siam,1,-1", "max_in_flight", "-1"),
            ("siam,region,siam,1,", "kind", "region"),
            ("siam,customer,other,1,", "name", "other"),
            ("si am,service,dispatch,1,", "customer", "si am"),
            ("siam,customer,siam", "row", ""),
            ("siam,customer,siam,1,2,3", "row", ""),
        ]
        header = GOOD.splitlines()[0]
        for line, column, value in cases:
            faults = limits_sheet.parse(f"{header}\n{line}\n").err_value
            self.assertEqual(1, len(faults), line)
            self.assertEqual(
                ("2", column, value),
                (faults[0].row, faults[0].column, faults[0].value),
            )

    def test_formats_of_spreadsheet_programs_are_accepted(self):
        plain = limits_sheet.parse(GOOD).ok_value
        self.assertEqual((), plain.notes)
        for text, notes in (
            ("\ufeff" + GOOD, 1),
            (GOOD.replace(",", ";"), 1),
            ("\ufeff" + GOOD.replace(",", ";").replace("\n", "\r\n"), 2),
        ):
            sheet = limits_sheet.parse(text).ok_value
            self.assertEqual(plain.rows, sheet.rows)
            self.assertEqual(notes, len(sheet.notes))

    def test_unknown_column_and_duplicate_row(self):
        self.assertTrue(limits_sheet.parse("customer,wait\n").is_err())
        duplicate = GOOD + "siam,customer,siam,1,\n"
        self.assertEqual(
            "name", limits_sheet.parse(duplicate).err_value[0].column
        )

    def test_export_can_be_parsed(self):
        state = _state(GOOD)
        text = limits_sheet.export(
            row.limit for row in state.live_rows("limit/")
        )
        self.assertEqual(
            [], limits_sheet.diff(*[limits_sheet.parse(text).ok_value] * 2)
        )
        self.assertEqual(state.limit("siam", "customer", "siam").weight, 300)


class ConflictTest(testtools.TestCase):
    def test_only_cells_changed_by_both_sides_conflict(self):
        base = limits_sheet.parse(GOOD).ok_value
        mine = limits_sheet.parse(
            GOOD.replace("300", "400").replace(",10", ",11")
        ).ok_value
        state = _state(GOOD.replace("300", "350"))
        found = config_state.conflicts(state, limits_sheet.diff(base, mine))
        self.assertEqual(
            [("weight", "300", "350", "400")],
            [(c.column, c.base, c.current, c.value) for c in found],
        )

    def test_deleted_row_conflicts_with_an_edit(self):
        base = limits_sheet.parse(GOOD).ok_value
        mine = limits_sheet.parse(GOOD.replace("300", "400")).ok_value
        found = config_state.conflicts(
            config_state.ConfigState(), limits_sheet.diff(base, mine)
        )
        self.assertEqual(["weight"], [c.column for c in found])
