"""Admission control, retry budgets and outlier ejection."""
